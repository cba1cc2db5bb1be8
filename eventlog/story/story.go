package story

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

// Story is what the logs tell of one request.
type Story struct {
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

// Tell joins the events that concern a request, and reports false when none names it.
func Tell(records []Record, request string) (Story, bool) {
	s := Story{Request: request}
	for _, r := range records {
		if r.Request == request {
			s.Own = append(s.Own, r)
		}
	}
	if len(s.Own) == 0 {
		return s, false
	}
	byTime(s.Own)
	last := s.Own[len(s.Own)-1]
	s.Began = last.At.Add(-time.Duration(last.Field("ms").Int()) * time.Millisecond)
	for _, r := range records {
		if !r.At.Before(s.Began.Add(-before)) && !r.At.After(last.At.Add(after)) {
			s.add(r)
		}
	}
	byTime(s.Around)
	s.Cause = s.cause()
	return s, true
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
func (s *Story) add(r Record) {
	switch {
	case r.Request == s.Request:
	case r.Request != "":
		s.count(r)
	case r.Process == s.Own[0].Process && among(ofVM, r):
		if r.Event == eventlog.LinesOmitted.Number {
			s.Omitted += r.Field("lines").Int()
		}
		s.Around = append(s.Around, r)
	case s.met(r.Runner) && among(ofRunner, r):
		s.Around = append(s.Around, r)
	}
}

// met reports whether the request had to do with a runner.
func (s *Story) met(runner string) bool {
	return runner != "" && slices.ContainsFunc(s.Own, func(r Record) bool { return r.Runner == runner })
}

// count takes in another request to one of the runners.
func (s *Story) count(r Record) {
	served, failed := r.Event == eventlog.RequestServed.Number, r.Event == eventlog.EndpointFailed.Number
	if !s.met(r.Runner) || !served && !failed {
		return
	}
	at := slices.IndexFunc(s.Calls, func(c Calls) bool { return c.Runner == r.Runner })
	if at < 0 {
		s.Calls = append(s.Calls, Calls{Runner: r.Runner})
		at = len(s.Calls) - 1
	}
	if served {
		s.Calls[at].Served++
	} else {
		s.Calls[at].Failed++
	}
}
