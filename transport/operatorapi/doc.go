// Package operatorapi is the client of the operators' HTTP routes of controls and other processes.
package operatorapi
