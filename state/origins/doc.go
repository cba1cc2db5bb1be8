// Package origins remembers at which version of a service's software streams began, so that they go on at no other.
package origins
