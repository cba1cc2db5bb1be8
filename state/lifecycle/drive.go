package lifecycle

import (
	"context"
	"time"
)

// Attempts performs the actions of the machine of one request. Each method returns the event that results.
type Attempts interface {
	Choose(ctx context.Context) Event
	Send(ctx context.Context) Event
	Pass(ctx context.Context) Event
	// Settle may replace an event by Expired or CallerLeft.
	Settle(ctx context.Context, event Event) Event
}

// Drive performs the actions of a machine until the final one, which it returns.
func Drive(ctx context.Context, now func() time.Time, m *Machine, a Attempts) Action {
	action := m.Step(now(), Started{})
	for {
		var event Event
		switch action {
		case Choose:
			event = a.Choose(ctx)
		case Send, Resume:
			event = a.Send(ctx)
		case Relay:
			event = a.Pass(ctx)
		default:
			return action
		}
		settled := a.Settle(ctx, event)
		if _, lost := event.(Lost); lost && settled != event {
			// The request may have run. The event that replaces Lost does not carry that.
			m.NoteSent()
		}
		action = m.Step(now(), settled)
	}
}
