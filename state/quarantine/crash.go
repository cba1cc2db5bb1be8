package quarantine

import (
	"strconv"
	"time"
)

// Fingerprint is a hash of the content of a request, equal for its retries.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	const base = 16
	return strconv.FormatUint(uint64(f), base)
}

// Crash records that an endpoint ended while it ran a request. Records of several VMs add up: each VM adds its own, and
// merging is a union by Key.
type Crash struct {
	Fingerprint Fingerprint `cbor:"1,keyasint" json:"fingerprint"`
	Endpoint    string      `cbor:"2,keyasint" json:"endpoint"`
	// Incarnation distinguishes the starts of an endpoint under one name. It is zero where they are not told apart.
	Incarnation int64 `cbor:"3,keyasint,omitempty" json:"incarnation,omitempty"`
	// SentAt and EndedAt bound the run, by the clock of the VM that sent the request.
	SentAt  time.Time `cbor:"4,keyasint" json:"sentAt"`
	EndedAt time.Time `cbor:"5,keyasint" json:"endedAt"`
	// Early means that the endpoint ended before the request had made progress, so the request is a likely cause.
	Early bool `cbor:"6,keyasint,omitempty" json:"early,omitempty"`
	// Cleared means that another endpoint has completed the request since.
	Cleared bool `cbor:"7,keyasint,omitempty" json:"cleared,omitempty"`
	// Parts are the shared parts of the request's prompt, if one of them may have crashed the endpoint: the run had just
	// begun to be answered, or had not.
	Parts []uint64 `cbor:"8,keyasint,omitempty" json:"parts,omitempty"`
}

// Key identifies the run that the crash ended.
func (c Crash) Key() string {
	const base = 10
	return c.Fingerprint.String() + "/" + c.Endpoint + "/" + strconv.FormatInt(c.SentAt.UnixNano(), base)
}

// Version is higher for a cleared crash, so that clearing replaces the crash on every VM.
func (c Crash) Version() uint64 {
	if c.Cleared {
		return 2
	}
	return 1
}

// sameCrashWindow is the time between two ends of runs within which they count as one crash of an incarnation. While an
// endpoint is down, a proxy in front of it may accept requests and close the connection.
const sameCrashWindow = 5 * time.Second

// same reports whether two records count as one crash: runs on one incarnation that overlapped in time, or that ended
// within sameCrashWindow.
func (c Crash) same(other Crash) bool {
	return c.Endpoint == other.Endpoint && c.Incarnation == other.Incarnation && c.near(other)
}

// near reports whether two runs overlapped in time, or ended within sameCrashWindow.
func (c Crash) near(other Crash) bool {
	overlapped := !c.SentAt.After(other.EndedAt) && !other.SentAt.After(c.EndedAt)
	return overlapped || c.EndedAt.Sub(other.EndedAt).Abs() < sameCrashWindow
}

// sameOfLater reports whether two records count as one crash, though one VM knew of a later start of the endpoint than the
// other when they sent their requests. An incarnation is the time of the start in Unix milliseconds.
func (c Crash) sameOfLater(other Crash) bool {
	return c.Endpoint == other.Endpoint && c.near(other) && (c.ranOn(other.Incarnation) || other.ranOn(c.Incarnation))
}

// ranOn reports whether a run was sent after a later start of its endpoint than the one that its VM knew.
func (c Crash) ranOn(later int64) bool {
	return c.Incarnation != 0 && c.Incarnation < later && !c.SentAt.Before(time.UnixMilli(later))
}
