package trace

import (
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
)

const (
	// spanBefore and spanAfter extend the time span of a request, so that it includes events that may explain the
	// outcome. Reports of runners and heartbeats of the store arrive some seconds apart.
	spanBefore = 3 * time.Second
	spanAfter  = time.Second
)

// RunnerCalls counts the other requests to a runner during a request, by their outcome.
type RunnerCalls struct {
	Runner string `json:"runner"`
	Served int    `json:"served"`
	Failed int    `json:"failed"`
}

// Trace is the history of one request according to the logs.
type Trace struct {
	Request   string    `json:"request"`
	StartedAt time.Time `json:"began"`
	// OwnEvents holds the lines that name the request.
	OwnEvents []Record `json:"own"`
	// RelatedEvents holds the state changes that its VM and the owners of its runners logged at the time.
	RelatedEvents []Record      `json:"around"`
	OtherCalls    []RunnerCalls `json:"calls"`
	// DroppedLines is the number of log lines that its VM dropped at the time.
	DroppedLines int64  `json:"omitted"`
	Cause        string `json:"cause"`
}

// Build collects the events that concern a request. It returns false if no event names the request.
func Build(records []Record, request string) (Trace, bool) {
	t := Trace{Request: request}
	for _, r := range records {
		if r.Request == request {
			t.OwnEvents = append(t.OwnEvents, r)
		}
	}
	if len(t.OwnEvents) == 0 {
		return t, false
	}
	sortByTime(t.OwnEvents)
	last := t.OwnEvents[len(t.OwnEvents)-1]
	t.StartedAt = last.At.Add(-time.Duration(last.Field("ms").Int()) * time.Millisecond)
	for _, r := range records {
		if !r.At.Before(t.StartedAt.Add(-spanBefore)) && !r.At.After(last.At.Add(spanAfter)) {
			t.addEvent(r)
		}
	}
	sortByTime(t.RelatedEvents)
	t.Cause = t.cause()
	return t, true
}

func sortByTime(records []Record) {
	slices.SortStableFunc(records, func(a, b Record) int { return a.At.Compare(b.At) })
}

// vmEvents lists the events about the state of a VM, and runnerEvents those about the state of a runner.
var (
	vmEvents = []eventlog.Event{
		eventlog.ProcessStarted, eventlog.ProcessStopping, eventlog.ProcessStopped, eventlog.SettingsReloaded,
		eventlog.ConfigurationApplied, eventlog.ConfigurationUnreadable, eventlog.StoreUnreachable, eventlog.StoreReachable,
		eventlog.PeerUnreachable, eventlog.RegistrationFailed, eventlog.LogLinesDropped,
	}
	runnerEvents = []eventlog.Event{
		eventlog.RunnerEntryChanged, eventlog.OwnerChanged, eventlog.RunnerReportUnreadable, eventlog.OrderSent,
		eventlog.MoveAccepted,
	}
)

func isOneOf(events []eventlog.Event, r Record) bool {
	return slices.ContainsFunc(events, func(e eventlog.Event) bool { return e.Number == r.Event })
}

// addEvent records an event within the time span of the request.
func (t *Trace) addEvent(r Record) {
	switch {
	case r.Request == t.Request:
	case r.Request != "":
		t.countCall(r)
	case r.Process == t.OwnEvents[0].Process && isOneOf(vmEvents, r):
		if r.Event == eventlog.LogLinesDropped.Number {
			t.DroppedLines += r.Field("lines").Int()
		}
		t.RelatedEvents = append(t.RelatedEvents, r)
	case t.involves(r.Runner) && isOneOf(runnerEvents, r):
		t.RelatedEvents = append(t.RelatedEvents, r)
	}
}

// involves reports whether an event of the request names a runner.
func (t *Trace) involves(runner string) bool {
	return runner != "" && slices.ContainsFunc(t.OwnEvents, func(r Record) bool { return r.Runner == runner })
}

// countCall counts the outcome of another request to one of the request's runners.
func (t *Trace) countCall(r Record) {
	served, failed := r.Event == eventlog.RequestServed.Number, r.Event == eventlog.EndpointFailed.Number
	if !t.involves(r.Runner) || !served && !failed {
		return
	}
	at := slices.IndexFunc(t.OtherCalls, func(c RunnerCalls) bool { return c.Runner == r.Runner })
	if at < 0 {
		t.OtherCalls = append(t.OtherCalls, RunnerCalls{Runner: r.Runner})
		at = len(t.OtherCalls) - 1
	}
	if served {
		t.OtherCalls[at].Served++
	} else {
		t.OtherCalls[at].Failed++
	}
}
