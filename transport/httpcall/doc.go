// Package httpcall is an HTTP client that controls the reuse of its connections. Its errors say whether a failed
// request may have reached the endpoint.
package httpcall
