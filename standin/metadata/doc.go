// Package metadata is a small in-memory stand-in of the metadata store of the users' platform.
package metadata
