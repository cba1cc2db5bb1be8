// Package lifecycle is the state machine of one request. It decides when to choose an endpoint, when to retry, and how
// to answer the caller. It also holds the retry budget.
package lifecycle
