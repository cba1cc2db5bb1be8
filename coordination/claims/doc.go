// Package claims grants each idempotency key to one request. It writes the claims of a slot in groups, by
// compare-and-swap in the key-value service.
package claims
