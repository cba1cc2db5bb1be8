// Package load sends reproducible load to entries or engines and measures the latency that callers observe.
package load
