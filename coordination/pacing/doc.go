// Package pacing keeps the loads from the weight store within its rate limit across all VMs. Each load needs a permit:
// a key in the platform's store that only one VM can create, and that expires with its lease.
package pacing
