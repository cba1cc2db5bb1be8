package quarantine

import (
	"strconv"
	"time"
)

// Clearance rules out a cause of crashes, or a crash. It records that a request with a part of a prompt began to be
// answered at a time, and was answered whole: the crashes before that have another cause. Or it records that an
// incarnation of an endpoint answered a call that was sent at a time: it had not ended before, although connections to it
// had. A later time replaces an earlier one.
type Clearance struct {
	Part uint64    `cbor:"1,keyasint,omitempty"`
	At   time.Time `cbor:"2,keyasint"`
	// Endpoint is empty in the clearance of a part.
	Endpoint    string `cbor:"3,keyasint,omitempty"`
	Incarnation int64  `cbor:"4,keyasint,omitempty"`
}

// Key identifies the part, or the incarnation of the endpoint.
func (c Clearance) Key() string {
	if c.Endpoint == "" {
		return "part/" + PartName(c.Part)
	}
	const base = 10
	return "endpoint/" + c.Endpoint + "/" + strconv.FormatInt(c.Incarnation, base)
}

// Version is the time in milliseconds.
func (c Clearance) Version() uint64 { return uint64(max(0, c.At.UnixMilli())) }
