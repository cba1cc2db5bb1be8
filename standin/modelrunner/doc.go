// Package modelrunner is a stand-in for the platform's endpoints: model runners, which accept orders and stream events,
// and plain endpoints.
package modelrunner
