package trace

import (
	"fmt"
	"slices"

	"github.com/zinniaroute/zinniaroute/eventlog"
)

// ending holds the numbers of the events with which a request ends. A crash under it may be logged later.
var ending = []int{
	eventlog.RequestServed.Number, eventlog.RequestNotServed.Number, eventlog.RequestRefusedStopping.Number,
	eventlog.NoRoute.Number,
}

// end returns the event with which the request ended, or its latest event if the logs do not contain the end.
func (t *Trace) end() Record {
	for i := len(t.OwnEvents) - 1; i >= 0; i-- {
		if slices.Contains(ending, t.OwnEvents[i].Event) {
			return t.OwnEvents[i]
		}
	}
	return t.OwnEvents[len(t.OwnEvents)-1]
}

// cause explains the outcome of the request in one sentence.
func (t *Trace) cause() string {
	last := t.end()
	switch last.Event {
	case eventlog.RequestServed.Number:
		return t.servedCause(last)
	case eventlog.RequestNotServed.Number:
		return t.notServedCause(last)
	case eventlog.RequestRefusedStopping.Number:
		return "refused: the process was stopping; the caller's next attempt goes to another VM"
	case eventlog.NoRoute.Number:
		return fmt.Sprintf("no route for %s%s in configuration %d", last.Field("host").Str, last.Field("path").Str, last.Field("version").Int())
	default:
		return "the logs do not contain the end of the request"
	}
}

// servedCause explains which phase of a served request took longest.
func (t *Trace) servedCause(last Record) string {
	whole, wait, first := last.Field("ms").Int(), last.Field("beforeMs").Int(), last.Field("firstMs").Int()
	text := fmt.Sprintf("served in %d ms: %d before it was sent for the last time, %d to the first byte (%d predicted), %d for the rest",
		whole, wait, first, last.Field("predictedMs").Int(), whole-wait-first)
	switch {
	case wait >= first && wait >= whole-wait-first:
		return text + "; longest phase: waiting " + t.waitCause()
	case first >= whole-wait-first:
		return text + "; runner " + last.Runner + " was slow to begin"
	default:
		return text + "; longest phase: the body of the answer"
	}
}

// waitCause explains why a request waited before it was sent.
func (t *Trace) waitCause() string {
	if r, ok := t.latest(eventlog.AdapterRequested); ok {
		return "for adapter " + r.Field("unit").Str
	}
	if r, ok := t.latest(eventlog.EndpointFailed); ok {
		return "for a retry after a failure of runner " + r.Runner + ": " + r.Field("error").Str
	}
	return "for the prefill of other prompts, or for its model"
}

func (t *Trace) notServedCause(last Record) string {
	outcome, reason := last.Field("outcome").Str, last.Field("reason").Str
	switch outcome {
	case "refuse":
		return "refused, not run: " + reason + t.refusalDetail()
	case "fail", "cut":
		text := fmt.Sprintf("%s after %d runs: %s", outcome, last.Field("runs").Int(), reason)
		if r, ok := t.latest(eventlog.EndpointFailed); ok {
			text += "; runner " + r.Runner + ": " + r.Field("error").Str + t.otherOutcomes(r.Runner)
		}
		return text
	default:
		return fmt.Sprintf("runner %s answered %d itself%s",
			last.Runner, last.Field("status").Int(), t.otherOutcomes(last.Runner))
	}
}

// refusalDetail returns the detail that explains why a request was refused.
func (t *Trace) refusalDetail() string {
	if r, ok := t.latest(eventlog.RequestRejected); ok {
		return fmt.Sprintf("; the best runner, %s, was predicted to begin after %d ms, with %.2f of its time taken by prompts",
			r.Runner, r.Field("predictedMs").Int(), r.Field("duty").Num)
	}
	if r, ok := t.latest(eventlog.AdapterRequested); ok && !r.Field("held").Bool() {
		return "; " + r.Field("owner").Str + " could not have " + r.Field("unit").Str + " loaded on " + r.Runner + ": " + r.Field("reason").Str
	}
	if r, ok := t.latest(eventlog.EndpointFailed); ok {
		return "; runner " + r.Runner + " was not reached: " + r.Field("error").Str + t.otherOutcomes(r.Runner)
	}
	if r, ok := t.latest(eventlog.NoEndpoint); ok {
		return fmt.Sprintf("; %d runners were listed %d ms before", r.Field("runners").Int(), r.Field("listAgeMs").Int())
	}
	return ""
}

// otherOutcomes summarizes the outcomes of other requests to a runner at the time.
func (t *Trace) otherOutcomes(runner string) string {
	for _, c := range t.OtherCalls {
		if c.Runner == runner {
			return fmt.Sprintf(" (at the time it served %d other requests and failed %d)", c.Served, c.Failed)
		}
	}
	return " (no other requests to it at the time)"
}

// latest returns the last event of a kind that names the request.
func (t *Trace) latest(event eventlog.Event) (Record, bool) {
	for i := len(t.OwnEvents) - 1; i >= 0; i-- {
		if t.OwnEvents[i].Event == event.Number {
			return t.OwnEvents[i], true
		}
	}
	return Record{}, false
}
