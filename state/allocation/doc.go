// Package allocation plans which models the runners of a service hold: one copy of each at least, and more of those that
// are asked for most.
package allocation
