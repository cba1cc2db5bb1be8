package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestContentIsOfferedWhileTheStoreIsAway(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	log := NewLog()
	_, ok := log.Content(now, time.Minute)
	assert.Assert(t, !ok, "nothing was listed")
	log.Put(Item{Key: "b", Revision: 2})
	log.Put(Item{Key: "a", Revision: 3})
	log.Put(Item{Key: "c", Revision: 4, Deleted: true})
	log.ApplyListing(map[string]bool{"a": true, "b": true}, 5)
	log.RecordSync(now, 5)
	log.Suspend()
	_, ok = log.Since(now, 0, time.Minute)
	assert.Assert(t, !ok, "a suspended log forwards nothing")
	view, ok := log.Content(now.Add(30*time.Second), time.Minute)
	assert.Assert(t, ok && view.Full && view.Age == 30*time.Second)
	assert.Equal(t, len(view.Items), 2)
	assert.Equal(t, view.Items[0].Key, "b", "items are in the order of their revisions")
	_, ok = log.Content(now.Add(2*time.Minute), time.Minute)
	assert.Assert(t, !ok, "the content is too old")
	log.RecordSync(now.Add(time.Second), 6)
	_, ok = log.Since(now.Add(time.Second), 5, time.Minute)
	assert.Assert(t, ok, "a sync ends the suspension")
}

func TestValueOfAKeyThatTheLogLacksIsNotUpdated(t *testing.T) {
	log := NewLog()
	log.Put(Item{Key: "a", Value: []byte("1"), Revision: 2})
	assert.Assert(t, log.UpdateValue(Item{Key: "a", Value: []byte("2"), Revision: 3}))
	log.ApplyListing(nil, 4)
	assert.Assert(t, !log.UpdateValue(Item{Key: "a", Value: []byte("2"), Revision: 5}), "other VMs would not get the key")
}
