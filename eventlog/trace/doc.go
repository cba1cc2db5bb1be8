// Package trace merges the log lines of several processes into the history of one request and explains its outcome.
package trace
