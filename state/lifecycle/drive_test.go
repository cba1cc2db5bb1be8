package lifecycle

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scripted returns the events of a request in turn. It replaces the last one by settled.
type scripted struct {
	events  []Event
	settled Event
}

func (s *scripted) next() Event {
	event := s.events[0]
	s.events = s.events[1:]
	return event
}

func (s *scripted) Choose(context.Context) Event { return s.next() }
func (s *scripted) Send(context.Context) Event   { return s.next() }
func (s *scripted) Pass(context.Context) Event   { return s.next() }

func (s *scripted) Settle(_ context.Context, event Event) Event {
	if len(s.events) == 0 && s.settled != nil {
		return s.settled
	}
	return event
}

func TestDriveEndsWithTheMachinesDecision(t *testing.T) {
	cases := []struct {
		name    string
		events  []Event
		settled Event
		want    Action
	}{
		{"answered", []Event{Chosen{Endpoint: "a"}, Answered{}, Completed{}}, nil, End},
		{"sent to another endpoint", []Event{Chosen{Endpoint: "a"}, Unreached{}, Chosen{Endpoint: "b"}, Answered{}, Completed{}}, nil, End},
		{"resumed", []Event{Chosen{Endpoint: "a"}, Answered{}, Broken{Resumable: true}, Chosen{Endpoint: "b"}, Answered{}, Completed{}}, nil, End},
		{"without an endpoint", []Event{NoneFree{Reason: "none"}}, nil, Refuse},
		{"unreachable until the deadline", []Event{Chosen{Endpoint: "a"}, Unreached{}}, Expired{}, Refuse},
		{"lost at the deadline", []Event{Chosen{Endpoint: "a"}, Lost{}}, Expired{}, Fail},
		{"truncated at the deadline", []Event{Chosen{Endpoint: "a"}, Answered{}, Broken{}}, Expired{}, Cut},
	}
	for _, c := range cases {
		m := New(Limits{Repeatable: true, MaxRuns: 3}, &purse{left: 3})
		now := func() time.Time { return time.Unix(1_000_000, 0) }
		got := Drive(context.Background(), now, m, &scripted{events: c.events, settled: c.settled})
		assert.Equal(t, got, c.want, c.name)
	}
}
