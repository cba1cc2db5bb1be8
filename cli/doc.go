// Package cli implements the command lines of the daemon zinniaroute and of the operators' client zinniactl.
package cli
