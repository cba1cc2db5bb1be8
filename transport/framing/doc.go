// Package framing rejects HTTP/1.1 messages whose end or header fields different recipients could read differently.
package framing
