// Package routing chooses an endpoint for each request and limits the requests and retries to failing endpoints.
package routing
