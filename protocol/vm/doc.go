// Package vm holds the messages that the gateways of VMs send one another over drpc.
package vm
