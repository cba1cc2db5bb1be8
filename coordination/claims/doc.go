// Package claims grants each idempotency key to one request. Claims are spread over slots. A slot is one key in the
// key-value service, and its claims are written in groups by compare-and-swap.
package claims
