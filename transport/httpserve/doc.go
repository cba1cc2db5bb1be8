// Package httpserve runs HTTP servers with common limits on the size and the time of requests.
package httpserve
