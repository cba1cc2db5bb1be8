package rpc

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type timeMessage struct {
	At time.Time `cbor:"1,keyasint"`
}

func TestEncodingKeepsNanoseconds(t *testing.T) {
	sent := timeMessage{At: time.Unix(1_000_000, 123_456_789).UTC()}
	data, err := encoding{}.Marshal(&sent)
	assert.NilError(t, err)
	var received timeMessage
	assert.NilError(t, encoding{}.Unmarshal(data, &received))
	assert.Assert(t, received.At.Equal(sent.At), received.At.String())
}
