// Package gateway is the process of a VM on the users' platform: it answers callers, follows the store, shares what it
// knows with its peers and orders runners.
package gateway
