// Package proxy is a TCP proxy that injects network faults between two processes.
package proxy
