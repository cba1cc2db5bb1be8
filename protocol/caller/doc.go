// Package caller defines the headers with which callers control requests and receive their outcome.
package caller
