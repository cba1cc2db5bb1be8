// Package lifecycle decides what happens to one request: where it is sent, whether it may be sent again, and what its
// caller is told.
package lifecycle
