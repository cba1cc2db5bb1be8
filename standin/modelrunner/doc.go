// Package modelrunner is a small stand-in of the platform's endpoints: model runners that take orders and stream events,
// and plain endpoints.
package modelrunner
