// Package operations serves the health, metrics, state and drain routes of a process.
package operations
