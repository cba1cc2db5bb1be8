package lifecycle

import (
	"context"
	"time"
)

// Executor performs the actions of the machine of one request. Each method returns the event that results.
type Executor interface {
	Choose(ctx context.Context) Event
	Send(ctx context.Context) Event
	Relay(ctx context.Context) Event
	// ReplaceEvent may replace an event by Expired or CallerLeft.
	ReplaceEvent(ctx context.Context, event Event) Event
}

// Drive performs the actions of a machine until the final one, which it returns.
func Drive(ctx context.Context, now func() time.Time, m *Machine, executor Executor) Action {
	action := m.Step(now(), Started{})
	for {
		var event Event
		switch action {
		case Choose:
			event = executor.Choose(ctx)
		case Send, Resume:
			event = executor.Send(ctx)
		case Relay:
			event = executor.Relay(ctx)
		default:
			return action
		}
		replaced := executor.ReplaceEvent(ctx, event)
		if _, lost := event.(Lost); lost && replaced != event {
			// The request may have run. The event that replaces Lost does not carry that.
			m.RecordRun()
		}
		action = m.Step(now(), replaced)
	}
}
