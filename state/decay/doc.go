// Package decay computes exponential decay by half-lives, for averages and rates over the recent past.
package decay
