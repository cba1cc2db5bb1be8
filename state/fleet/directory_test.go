package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_000_000, 0)

func entry(revision uint64, born int64, leaving bool, adapters ...string) Runner {
	return Runner{
		ID: "r", Service: "s", Revision: revision, Incarnation: born, Leaving: leaving,
		Holdings: Holdings{Models: []Held{{Model: "m", Adapters: adapters}}},
	}
}

func TestPutTellsWhatChanged(t *testing.T) {
	d := NewDirectory()
	assert.Equal(t, d.Put(now, entry(1, 5, false)), Appeared)
	assert.Equal(t, d.Put(now, entry(2, 5, false)), Same)
	assert.Equal(t, d.Put(now, entry(3, 5, true)), Leaves)
	assert.Equal(t, d.Put(now, entry(4, 6, false)), Restart)
	assert.Equal(t, d.Put(now, entry(3, 5, true)), Same, "an older entry changes nothing")
	assert.Assert(t, !d.Get("r").Leaving)
	assert.Equal(t, d.Remove("r"), Gone)
}

func TestWhatTheOrdererKnowsOutlivesOlderEntries(t *testing.T) {
	d := NewDirectory()
	d.Put(now, entry(1, 5, false))
	holdings := Holdings{Models: []Held{{Model: "m", Adapters: []string{"a1"}}}}
	assert.Assert(t, d.Learn("r", 5, holdings, now))
	d.Put(now.Add(time.Second), entry(2, 5, false))
	assert.Assert(t, d.Get("r").Holdings.Has(Unit{Model: "m", Adapter: "a1"}))
	d.Put(now.Add(3*time.Second), entry(3, 5, false))
	assert.Assert(t, !d.Get("r").Holdings.Has(Unit{Model: "m", Adapter: "a1"}))
	assert.Assert(t, !d.Learn("r", 4, holdings, now.Add(time.Minute)), "another incarnation")
}

func TestEntriesThatLapsedInAnOutageHaveTimeToComeBack(t *testing.T) {
	d := NewDirectory()
	d.Put(now, entry(1, 5, false))
	assert.Equal(t, len(d.Listed(now, nil, 2*time.Second)), 0)
	assert.Equal(t, len(d.Expire(now.Add(time.Second))), 0)
	assert.Assert(t, d.Get("r") != nil)
	assert.DeepEqual(t, d.Expire(now.Add(2*time.Second)), []string{"r"})
	d.Put(now, entry(2, 5, false))
	assert.DeepEqual(t, d.Listed(now, nil, 0), []string{"r"})
}

func TestDisownedUnitsAreNotHeld(t *testing.T) {
	d := NewDirectory()
	d.Put(now, entry(1, 5, false, "a1", "a2"))
	d.Disown(now, "r", Unit{Model: "m", Adapter: "a1"})
	assert.Assert(t, !d.Get("r").Holdings.Has(Unit{Model: "m", Adapter: "a1"}))
	assert.Assert(t, d.Get("r").Holdings.Has(Unit{Model: "m", Adapter: "a2"}))
	d.Disown(now, "r", Unit{Model: "m"})
	assert.Assert(t, !d.Get("r").Holdings.Has(Unit{Model: "m"}))
}
