package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_000_000, 0)

func entry(revision Revision, incarnation int64, draining bool, adapters ...string) Runner {
	return Runner{
		ID: "r", Service: "s", Revision: revision, Incarnation: incarnation, Draining: draining,
		Holdings: Holdings{Models: []LoadedModel{{Model: "m", Adapters: adapters}}},
	}
}

func TestPutReturnsTheChange(t *testing.T) {
	d := NewDirectory()
	assert.Equal(t, d.Put(now, entry(1, 5, false)), ChangeAdded)
	assert.Equal(t, d.Put(now, entry(2, 5, false)), ChangeNone)
	assert.Equal(t, d.Put(now, entry(3, 5, true)), ChangeDraining)
	assert.Equal(t, d.Put(now, entry(4, 6, false)), ChangeRestarted)
	assert.Equal(t, d.Put(now, entry(3, 5, true)), ChangeNone, "an older entry changes nothing")
	assert.Assert(t, !d.Get("r").Draining)
	assert.Equal(t, d.Remove("r"), ChangeRemoved)
}

func TestOwnerHoldingsPersistUntilNewerEntry(t *testing.T) {
	d := NewDirectory()
	d.Put(now, entry(1, 5, false))
	holdings := Holdings{Models: []LoadedModel{{Model: "m", Adapters: []string{"a1"}}}}
	assert.Assert(t, d.MergeHoldings("r", 5, holdings, now))
	d.Put(now.Add(time.Second), entry(2, 5, false))
	assert.Assert(t, d.Get("r").Holdings.Has(Unit{Model: "m", Adapter: "a1"}))
	d.Put(now.Add(3*time.Second), entry(3, 5, false))
	assert.Assert(t, !d.Get("r").Holdings.Has(Unit{Model: "m", Adapter: "a1"}))
	assert.Assert(t, !d.MergeHoldings("r", 4, holdings, now.Add(time.Minute)), "another incarnation")
}

func TestRunnersMissingAfterOutageStayForGrace(t *testing.T) {
	d := NewDirectory()
	d.Put(now, entry(1, 5, false))
	assert.Equal(t, len(d.ApplyListing(now, nil, 2*time.Second)), 0)
	assert.Equal(t, len(d.Expire(now.Add(time.Second))), 0)
	assert.Assert(t, d.Get("r") != nil)
	assert.DeepEqual(t, d.Expire(now.Add(2*time.Second)), []string{"r"})
	d.Put(now, entry(2, 5, false))
	assert.DeepEqual(t, d.ApplyListing(now, nil, 0), []string{"r"})
}

func TestRemoveUnitDropsModelOrAdapter(t *testing.T) {
	d := NewDirectory()
	d.Put(now, entry(1, 5, false, "a1", "a2"))
	d.RemoveUnit(now, "r", Unit{Model: "m", Adapter: "a1"})
	assert.Assert(t, !d.Get("r").Holdings.Has(Unit{Model: "m", Adapter: "a1"}))
	assert.Assert(t, d.Get("r").Holdings.Has(Unit{Model: "m", Adapter: "a2"}))
	d.RemoveUnit(now, "r", Unit{Model: "m"})
	assert.Assert(t, !d.Get("r").Holdings.Has(Unit{Model: "m"}))
}

func TestRunnerThatDrainsIsReadyAgainAfterTheStoreReturns(t *testing.T) {
	d := NewDirectory()
	now := time.Unix(1_000_000, 0)
	d.Put(now, entry(NewRevision(1, 5), 1, true))
	d.Put(now, entry(NewRevision(2, 3), 1, false))
	assert.Assert(t, d.Get("r").Draining)
	d.Put(now, entry(NewRevision(2, 4), 2, false))
	assert.Assert(t, !d.Get("r").Draining, "a new incarnation does not drain")
}
