package httpcall

import (
	"fmt"

	"github.com/pkg/errors"
)

// Stage is the step of a call.
type Stage string

// The steps of a call in order.
const (
	StageDial   Stage = "dial"
	StageWrite  Stage = "write"
	StageHeader Stage = "header"
	StageBody   Stage = "body"
)

// Error tells at which step a call failed.
type Error struct {
	Stage Stage
	Cause error
}

// Error returns the step and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Sent reports whether a byte of the request may have reached the endpoint.
func (e *Error) Sent() bool { return e.Stage != StageDial }

// WasSent reports whether a call that failed may have reached its endpoint; errors of other kinds count as sent.
func WasSent(err error) bool {
	var failed *Error
	return !errors.As(err, &failed) || failed.Sent()
}
