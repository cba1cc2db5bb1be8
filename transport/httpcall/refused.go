package httpcall

import (
	"expvar"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRefusalStatus is the lowest status of a response that may refuse a request (RFC 9110, section 15.5). Failures of an endpoint
	// count as refusals: a request may be sent again after them too.
	minRefusalStatus = 400
	// maxRefusedRequests is the number of refused requests that a connection remembers, in 256 bytes. It is closed at the next
	// refusal.
	maxRefusedRequests = 32
)

// unexpectedResponses counts responses that name another request (foreign) or none (unnamed) where one is due, and connections on which
// bytes arrive after a response (after) or while they are idle (idle).
var unexpectedResponses = expvar.NewMap("httpcallUnexpected")

// refusedRequests holds hashes of the names of the requests that were refused on a connection. An endpoint may send a copy of a
// refusal late, which looks like the response to the same request if that is sent on the connection again.
type refusedRequests struct{ names []uint64 }

// record adds the name of a request, unless it is empty. It reports false if there is no room for the name, so that the connection
// must not be used again.
func (r *refusedRequests) record(name string) bool {
	if name == "" {
		return true
	}
	hash := xxhash.Sum64String(name)
	switch {
	case slices.Contains(r.names, hash):
		return true
	case len(r.names) >= maxRefusedRequests:
		return false
	}
	r.names = append(r.names, hash)
	return true
}

// contains reports whether a request of a name was refused.
func (r *refusedRequests) contains(name string) bool {
	return name != "" && len(r.names) > 0 && slices.Contains(r.names, xxhash.Sum64String(name))
}
