package trace

import (
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
)

const (
	// before and after widen the time of a request to the events that may explain it: a report and a heartbeat of the
	// store are some seconds apart.
	before = 3 * time.Second
	after  = time.Second
)

// Calls counts what became of the other requests to a runner while a request was under way.
type Calls struct {
	Runner string `json:"runner"`
	Served int    `json:"served"`
	Failed int    `json:"failed"`
}

// Trace is what the logs hold on one request.
type Trace struct {
	Request string    `json:"request"`
	Began   time.Time `json:"began"`
	// Own are the lines that name the request.
	Own []Record `json:"own"`
	// Around are what its VM and the owners of its runners came to believe at the time.
	Around []Record `json:"around"`
	Calls  []Calls  `json:"calls"`
	// Omitted is the number of lines that its VM left out at the time.
	Omitted int64  `json:"omitted"`
	Cause   string `json:"cause"`
}

// Build joins the events that concern a request, and reports false when none names it.
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

// ofVM are the events that say what a VM believed, and ofRunner those that say what became of a runner.
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

// add takes in an event of the time of the request.
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

// met reports whether the request had to do with a runner.
func (t *Trace) met(runner string) bool {
	return runner != "" && slices.ContainsFunc(t.Own, func(r Record) bool { return r.Runner == runner })
}

// count takes in another request to one of the runners.
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
