package lifecycle

import (
	"context"
	"time"
)

// Attempts carries out what the machine of one request asks for, and tells what came of it.
type Attempts interface {
	Choose(ctx context.Context) Event
	Send(ctx context.Context) Event
	Pass(ctx context.Context) Event
	// Settle may replace an event by the end of the request's time or the caller's leaving.
	Settle(ctx context.Context, event Event) Event
}

// Drive steps a machine until it has decided on the final answer, which it returns.
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
			// The request may have run, which the event in place of the loss does not say.
			m.NoteSent()
		}
		action = m.Step(now(), settled)
	}
}
