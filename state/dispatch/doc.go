// Package dispatch chooses the endpoint for a request by the predicted time to first byte, plus penalties for recent
// failures and for another failure domain.
package dispatch
