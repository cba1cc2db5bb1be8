// Package metadata is an in-memory stand-in for the platform's metadata store.
package metadata
