// Package fleet keeps what is known of the runners: who they are, whether they take work, and what they hold.
package fleet
