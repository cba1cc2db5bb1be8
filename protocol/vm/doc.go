// Package vm defines the messages that the gateways of different VMs exchange over drpc.
package vm
