// Package relay lets one VM hand on to others what it reads from the platform's store, so that not every VM reads it.
package relay
