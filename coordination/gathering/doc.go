// Package gathering adds up, at one VM, what all VMs tell of their requests and of the runners that they own.
package gathering
