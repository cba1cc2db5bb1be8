// Package decay forgets past values by halves, for averages and rates over the recent past.
package decay
