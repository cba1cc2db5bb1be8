// Package vmlist is a stand-in for the platform's list of live and leaving VMs.
package vmlist
