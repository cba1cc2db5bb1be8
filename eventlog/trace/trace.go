package trace

import (
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
)

const (
	// before and after extend the time span of a request, so that it includes events that may explain the outcome.
	// Reports of runners and heartbeats of the store arrive some seconds apart.
	before = 3 * time.Second
	after  = time.Second
)

// Calls counts the other requests to a runner during a request, by their outcome.
type Calls struct {
	Runner string `json:"runner"`
	Served int    `json:"served"`
	Failed int    `json:"failed"`
}

// Trace is the history of one request according to the logs.
type Trace struct {
	Request string    `json:"request"`
	Began   time.Time `json:"began"`
	// Own holds the lines that name the request.
	Own []Record `json:"own"`
	// Around holds the state changes that its VM and the owners of its runners logged at the time.
	Around []Record `json:"around"`
	Calls  []Calls  `json:"calls"`
	// Omitted is the number of log lines that its VM dropped at the time.
	Omitted int64  `json:"omitted"`
	Cause   string `json:"cause"`
}

// Build collects the events that concern a request. It returns false if no event names the request.
func Build(records []Record, request string) (Trace, bool) {
	t := Trace{Request: request}
	for _, r := range records {
		if r.Request == request {
			t.Own = append(t.Own, r)
		}
	}
	if len(t.Own) == 0 {
		return t, false
	}
	byTime(t.Own)
	last := t.Own[len(t.Own)-1]
	t.Began = last.At.Add(-time.Duration(last.Field("ms").Int()) * time.Millisecond)
	for _, r := range records {
		if !r.At.Before(t.Began.Add(-before)) && !r.At.After(last.At.Add(after)) {
			t.add(r)
		}
	}
	byTime(t.Around)
	t.Cause = t.cause()
	return t, true
}

func byTime(records []Record) {
	slices.SortStableFunc(records, func(a, b Record) int { return a.At.Compare(b.At) })
}

// ofVM lists the events about the state of a VM, and ofRunner those about the state of a runner.
var (
	ofVM = []eventlog.Event{
		eventlog.ProcessStarted, eventlog.ProcessStopping, eventlog.ProcessStopped, eventlog.SettingsReloaded,
		eventlog.ConfigurationInForce, eventlog.ConfigurationUnreadable, eventlog.StoreLost, eventlog.StoreBack,
		eventlog.PeerUnreachable, eventlog.RegistrationFailed, eventlog.LinesOmitted,
	}
	ofRunner = []eventlog.Event{
		eventlog.RunnerListed, eventlog.OwnerChanged, eventlog.ReportFailed, eventlog.OrderGiven, eventlog.MoveTaken,
	}
)

func among(events []eventlog.Event, r Record) bool {
	return slices.ContainsFunc(events, func(e eventlog.Event) bool { return e.Number == r.Event })
}

// add records an event within the time span of the request.
func (t *Trace) add(r Record) {
	switch {
	case r.Request == t.Request:
	case r.Request != "":
		t.count(r)
	case r.Process == t.Own[0].Process && among(ofVM, r):
		if r.Event == eventlog.LinesOmitted.Number {
			t.Omitted += r.Field("lines").Int()
		}
		t.Around = append(t.Around, r)
	case t.met(r.Runner) && among(ofRunner, r):
		t.Around = append(t.Around, r)
	}
}

// met reports whether an event of the request names a runner.
func (t *Trace) met(runner string) bool {
	return runner != "" && slices.ContainsFunc(t.Own, func(r Record) bool { return r.Runner == runner })
}

// count counts the outcome of another request to one of the request's runners.
func (t *Trace) count(r Record) {
	served, failed := r.Event == eventlog.RequestServed.Number, r.Event == eventlog.EndpointFailed.Number
	if !t.met(r.Runner) || !served && !failed {
		return
	}
	at := slices.IndexFunc(t.Calls, func(c Calls) bool { return c.Runner == r.Runner })
	if at < 0 {
		t.Calls = append(t.Calls, Calls{Runner: r.Runner})
		at = len(t.Calls) - 1
	}
	if served {
		t.Calls[at].Served++
	} else {
		t.Calls[at].Failed++
	}
}
