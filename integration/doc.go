// Package integration tests the system's guarantees to callers and operators. The programs run as real processes,
// beside stand-ins for the platform.
package integration
