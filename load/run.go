package load

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
)

// Target holds the addresses that receive a load and the target time to first token.
type Target struct {
	Addresses  []netip.AddrPort
	FirstToken time.Duration
}

// recorder aggregates the calls of a load.
type recorder struct {
	mu               sync.Mutex
	firstTokenTarget time.Duration
	requests         int
	tokens           int64
	withinTarget     int
	outcomes         map[string]int
	firstToken       *Histogram
	betweenTokens    *Histogram
	total            *Histogram
}

func newRecorder(firstTokenTarget time.Duration) *recorder {
	return &recorder{
		firstTokenTarget: firstTokenTarget,
		outcomes:         make(map[string]int),
		firstToken:       newHistogram(),
		betweenTokens:    newHistogram(),
		total:            newHistogram(),
	}
}

func (r *recorder) add(c *call) {
	for _, interval := range c.tokenIntervals {
		r.betweenTokens.record(interval)
	}
	if c.tokens > 0 {
		r.firstToken.record(c.firstToken)
	}
	if c.outcome == outcomeComplete {
		r.total.record(c.total)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	r.tokens += int64(c.tokens)
	r.outcomes[c.outcome]++
	if c.outcome == outcomeComplete && c.firstToken <= r.firstTokenTarget {
		r.withinTarget++
	}
}

func (r *recorder) report(elapsed time.Duration) Report {
	report := Report{
		Requests:      r.requests,
		Tokens:        r.tokens,
		Elapsed:       elapsed,
		FirstToken:    r.firstToken.Summary(),
		BetweenTokens: r.betweenTokens.Summary(),
		Total:         r.total.Summary(),
	}
	if r.requests > 0 {
		report.Attainment = float64(r.withinTarget) / float64(r.requests)
	}
	for outcome, count := range r.outcomes {
		report.Outcomes = append(report.Outcomes, OutcomeCount{Outcome: outcome, Count: count})
	}
	slices.SortFunc(report.Outcomes, func(a, b OutcomeCount) int { return strings.Compare(a.Outcome, b.Outcome) })
	return report
}

// Run sends the requests of a plan as an open loop: each at its scheduled time, even if earlier requests are still
// unanswered.
func Run(ctx context.Context, g *group.Group, plan Plan, target Target) Report {
	client := httpcall.NewClient(callerDialTimeout)
	defer client.Close()
	recorder := newRecorder(target.FirstToken)
	startedAt := time.Now()
	var callers sync.WaitGroup
	for _, arrival := range Schedule(plan) {
		due := startedAt.Add(arrival.At)
		if !group.Sleep(ctx, time.Until(due)) {
			break
		}
		callers.Add(1)
		address := target.Addresses[arrival.Number%len(target.Addresses)]
		g.Run("arrival", func(context.Context) {
			defer callers.Done()
			c := &call{dueAt: due}
			if arrival.Booking {
				sendBooking(ctx, client, address, c, plan.BookingRoute, fmt.Sprintf("%d-%d", plan.Seed, arrival.Number))
			} else {
				streamAnswer(ctx, client, address, c, newChatRequest(arrival.Model, arrival.Prompt, plan.Tokens))
			}
			recorder.add(c)
		})
	}
	callers.Wait()
	return recorder.report(time.Since(startedAt))
}

func newChatRequest(model, prompt string, tokens int) openai.Request {
	return openai.Request{
		Model:     model,
		Messages:  []openai.Message{{Role: "user", Content: openai.Text(prompt)}},
		MaxTokens: tokens,
		Stream:    true,
	}
}

// Concurrency describes a closed loop of concurrent streams.
type Concurrency struct {
	Streams int
	// RequestsPerStream is the number of requests that each stream sends one after another.
	RequestsPerStream int
	// Tokens is the number of tokens in each answer.
	Tokens int
	// Stagger is the time over which the starts of the streams are spread evenly.
	Stagger time.Duration
}

// RunStreams runs concurrent streams against one address until each has sent its requests.
func RunStreams(ctx context.Context, g *group.Group, address netip.AddrPort, model string, c Concurrency) Report {
	client := httpcall.NewClient(callerDialTimeout)
	defer client.Close()
	recorder := newRecorder(0)
	startedAt := time.Now()
	var streams sync.WaitGroup
	for number := range c.Streams {
		streams.Add(1)
		start := startedAt.Add(c.Stagger * time.Duration(number) / time.Duration(c.Streams))
		g.Run("stream", func(context.Context) {
			defer streams.Done()
			if !group.Sleep(ctx, time.Until(start)) {
				return
			}
			for repeat := range c.RequestsPerStream {
				one := &call{dueAt: time.Now()}
				streamAnswer(ctx, client, address, one, newChatRequest(model, fmt.Sprint("stream ", number, repeat), c.Tokens))
				recorder.add(one)
			}
		})
	}
	streams.Wait()
	return recorder.report(time.Since(startedAt))
}
