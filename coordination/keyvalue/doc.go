// Package keyvalue defines the interface to the platform's key-value service.
package keyvalue
