// Package quarantine finds requests, and parts of prompts, that crash the endpoints that run them.
package quarantine
