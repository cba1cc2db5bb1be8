// Package admission decides whether a request is worth sending now, or is turned away with the time to come back.
package admission
