// Package dispatch chooses the endpoint of a request by the time at which each would begin to answer it.
package dispatch
