// Package group runs the goroutines of a process on a pool, stops them together and waits for them.
package group
