// Package waiting orders the requests of a VM that cannot be sent now. The queue is bounded. After each change it gives the
// requests their turn to be decided on, one after another in order, so that none is sent in the place of one before it.
package waiting
