// Package kvstore is an in-memory stand-in for the platform's key-value service.
package kvstore
