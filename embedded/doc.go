// Package embedded runs a complete sample deployment, with stand-ins for external systems, as goroutines of one
// process.
package embedded
