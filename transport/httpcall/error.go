package httpcall

import (
	"fmt"

	"github.com/pkg/errors"
)

// Stage is a step of a call. Its values appear in the texts of errors.
type Stage string

// The steps of a call, in order.
const (
	StageDial   Stage = "dial"
	StageWrite  Stage = "write"
	StageHeader Stage = "header"
	StageBody   Stage = "body"
)

// Error is the failure of a call at one of its steps.
type Error struct {
	Stage Stage
	Cause error
}

// Error returns the step and the cause, as "STAGE: CAUSE".
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Sent reports whether any byte of the request may have reached the endpoint.
func (e *Error) Sent() bool { return e.Stage != StageDial }

// WasSent reports whether a failed call may have reached its endpoint. It returns true for errors of other types than
// Error.
func WasSent(err error) bool {
	var failed *Error
	return !errors.As(err, &failed) || failed.Sent()
}

// BeforeAnswer reports whether a call failed before the header of the response arrived, because of its connection. It returns
// false for errors of other types than Error.
func BeforeAnswer(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.Stage != StageBody && !errors.Is(err, errNoResponse) &&
		!errors.Is(err, errTooManySkipped) && !errors.Is(err, ErrUnnamed)
}
