// Package lease decides which VM holds the controller lease of a failure domain. The lease is a record in the key-value
// service, which changes only by compare-and-swap.
package lease
