// Package admission is the admission control for requests: it sends a request now, defers it, or rejects it with the
// time after which the caller may retry.
package admission
