// Package ownership decides which VM gives orders to which runner, with the platform's store as the only arbiter.
package ownership
