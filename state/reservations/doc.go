// Package reservations counts, at the owner of a runner, the prompts that VMs have sent or are about to send there. The load that
// it addresses is that of many VMs whose summaries are the same and up to a second old, and that all send to the same runners.
package reservations
