// Package fault injects faults into the HTTP server of a stand-in.
package fault
