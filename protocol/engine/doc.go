// Package engine defines the HTTP API by which model engines receive load orders and report their load.
package engine
