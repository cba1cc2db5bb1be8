// Package pacing keeps the loads from the weight store within its rate over all VMs: each load needs a place, and the
// places are keys that the platform's store lets only one VM have.
package pacing
