// Package caller is a small stand-in of the platform's callers and of its operator: their requests and configurations.
package caller
