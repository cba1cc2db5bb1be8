// Package engineapi is a client for model engines. It sends orders and reads the engine's index and load report.
package engineapi
