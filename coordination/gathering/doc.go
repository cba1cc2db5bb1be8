// Package gathering aggregates, at one VM, the reports of all VMs on their requests and on the runners that they own.
package gathering
