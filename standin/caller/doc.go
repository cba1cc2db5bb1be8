// Package caller builds the requests of the platform's callers and the configurations of its operator, for tests.
package caller
