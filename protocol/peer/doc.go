// Package peer defines the messages that controls and entries exchange over drpc.
package peer
