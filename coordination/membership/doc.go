// Package membership derives the state of each VM from the age of its last heartbeat.
package membership
