package relay

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPackedItemIsUnpacked(t *testing.T) {
	item := Item{Key: "a", Value: bytes.Repeat([]byte("route "), minPackedBytes), Revision: 7}
	packed := item.pack()
	assert.Assert(t, len(packed.Value) < len(item.Value)/10)
	unpacked, err := packed.Unpacked()
	assert.NilError(t, err)
	assert.DeepEqual(t, unpacked, item)

	packed.Value = packed.Value[:len(packed.Value)/2]
	_, err = packed.Unpacked()
	assert.ErrorContains(t, err, "decompress the value of a")

	large := Item{Key: "a", Value: make([]byte, maxValueBytes+1)}
	_, err = large.pack().Unpacked()
	assert.ErrorContains(t, err, "exceeds")
}
