// Package gateway is the gateway process of a VM. It serves callers, follows the platform's store, exchanges state with
// the gateways of other VMs, and sends orders to the model runners that the VM owns.
package gateway
