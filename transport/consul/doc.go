// Package consul is a client for the platform's key-value service, which has the Consul KV HTTP API.
package consul
