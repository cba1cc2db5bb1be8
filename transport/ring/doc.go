// Package ring provides bounded queues between the tasks of a process.
package ring
