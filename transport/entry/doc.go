// Package entry is the process that receives callers' requests and forwards them to endpoints.
package entry
