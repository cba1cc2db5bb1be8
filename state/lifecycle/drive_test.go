package lifecycle

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scripted returns the events of a request in turn. It replaces the last one by replaced.
type scripted struct {
	events   []Event
	replaced Event
}

func (s *scripted) next() Event {
	event := s.events[0]
	s.events = s.events[1:]
	return event
}

func (s *scripted) Choose(context.Context) Event { return s.next() }
func (s *scripted) Send(context.Context) Event   { return s.next() }
func (s *scripted) Relay(context.Context) Event  { return s.next() }

func (s *scripted) ReplaceEvent(_ context.Context, event Event) Event {
	if len(s.events) == 0 && s.replaced != nil {
		return s.replaced
	}
	return event
}

func TestDriveReturnsTheFinalAction(t *testing.T) {
	cases := []struct {
		name     string
		events   []Event
		replaced Event
		want     Action
	}{
		{"answered", []Event{Chosen{Endpoint: "a"}, Answered{}, Completed{}}, nil, End},
		{"sent to another endpoint", []Event{Chosen{Endpoint: "a"}, Unreachable{}, Chosen{Endpoint: "b"}, Answered{}, Completed{}}, nil, End},
		{"resumed", []Event{Chosen{Endpoint: "a"}, Answered{}, Truncated{Resumable: true}, Chosen{Endpoint: "b"}, Answered{}, Completed{}}, nil, End},
		{"without an endpoint", []Event{NoEndpoint{Reason: "none"}}, nil, Refuse},
		{"unreachable until the deadline", []Event{Chosen{Endpoint: "a"}, Unreachable{}}, Expired{}, Refuse},
		{"lost at the deadline", []Event{Chosen{Endpoint: "a"}, Lost{}}, Expired{}, Fail},
		{"truncated at the deadline", []Event{Chosen{Endpoint: "a"}, Answered{}, Truncated{}}, Expired{}, Abort},
	}
	for _, c := range cases {
		m := New(Limits{Retryable: true, MaxRuns: 3}, &fixedBudget{left: 3})
		now := func() time.Time { return time.Unix(1_000_000, 0) }
		got := Drive(context.Background(), now, m, &scripted{events: c.events, replaced: c.replaced})
		assert.Equal(t, got, c.want, c.name)
	}
}
