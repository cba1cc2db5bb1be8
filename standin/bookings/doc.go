// Package bookings is a stand-in for a plain service. It counts how often each request is executed.
package bookings
