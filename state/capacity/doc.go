// Package capacity estimates how fast each runner works relative to the other runners of its service, from what all VMs
// measure, and how many requests a plain runner serves at once without loss of throughput.
package capacity
