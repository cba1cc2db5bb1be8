// Package reach decides whether a VM has lost its path to all endpoints, which endpoints to check for that, and which other
// VM forwards its requests meanwhile.
package reach
