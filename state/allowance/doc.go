// Package allowance limits what the requests of a workspace cost over all VMs. Each VM reports what it spent by age, gets the
// sums of the others, and decides alone.
package allowance
