// Package relay lets one VM read the platform's store and forward its content, so that not every VM has to read it.
package relay
