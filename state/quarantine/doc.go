// Package quarantine identifies requests that crash the endpoints that run them, and refuses them.
package quarantine
