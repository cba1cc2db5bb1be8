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

// meter aggregates the calls of a load.
type meter struct {
	mu       sync.Mutex
	target   time.Duration
	requests int
	tokens   int64
	attained int
	ends     map[string]int
	first    *Timing
	between  *Timing
	whole    *Timing
}

func newMeter(target time.Duration) *meter {
	return &meter{
		target:  target,
		ends:    make(map[string]int),
		first:   newTiming(),
		between: newTiming(),
		whole:   newTiming(),
	}
}

func (m *meter) take(c *call) {
	for _, gap := range c.gaps {
		m.between.record(gap)
	}
	if c.tokens > 0 {
		m.first.record(c.firstToken)
	}
	if c.end == endWhole {
		m.whole.record(c.whole)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests++
	m.tokens += int64(c.tokens)
	m.ends[c.end]++
	if c.end == endWhole && c.firstToken <= m.target {
		m.attained++
	}
}

func (m *meter) report(elapsed time.Duration) Report {
	report := Report{
		Requests:      m.requests,
		Tokens:        m.tokens,
		Elapsed:       elapsed,
		FirstToken:    m.first.Summary(),
		BetweenTokens: m.between.Summary(),
		Whole:         m.whole.Summary(),
	}
	if m.requests > 0 {
		report.Attained = float64(m.attained) / float64(m.requests)
	}
	for end, count := range m.ends {
		report.Outcomes = append(report.Outcomes, OutcomeCount{Outcome: end, Count: count})
	}
	slices.SortFunc(report.Outcomes, func(a, b OutcomeCount) int { return strings.Compare(a.Outcome, b.Outcome) })
	return report
}

// Run sends the requests of a plan as an open loop: each at its scheduled time, even if earlier requests are still
// unanswered.
func Run(ctx context.Context, g *group.Group, plan Plan, target Target) Report {
	client := httpcall.NewClient(callerDialLimit)
	defer client.Close()
	m := newMeter(target.FirstToken)
	began := time.Now()
	var wait sync.WaitGroup
	for _, arrival := range Schedule(plan) {
		due := began.Add(arrival.At)
		if !group.Sleep(ctx, time.Until(due)) {
			break
		}
		wait.Add(1)
		address := target.Addresses[arrival.Number%len(target.Addresses)]
		g.Run("arrival", func(context.Context) {
			defer wait.Done()
			c := &call{due: due}
			if arrival.Booking {
				book(ctx, client, address, c, plan.BookingRoute, fmt.Sprintf("%d-%d", plan.Seed, arrival.Number))
			} else {
				stream(ctx, client, address, c, chatRequest(arrival.Model, arrival.Prompt, plan.Tokens))
			}
			m.take(c)
		})
	}
	wait.Wait()
	return m.report(time.Since(began))
}

func chatRequest(model, prompt string, tokens int) openai.Request {
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
	// Repeats is the number of requests that each stream sends one after another.
	Repeats int
	// Tokens is the number of tokens in each answer.
	Tokens int
	// Stagger is the time over which the starts of the streams are spread evenly.
	Stagger time.Duration
}

// Streams runs concurrent streams against one address until each has sent its requests.
func Streams(ctx context.Context, g *group.Group, address netip.AddrPort, model string, c Concurrency) Report {
	client := httpcall.NewClient(callerDialLimit)
	defer client.Close()
	m := newMeter(0)
	began := time.Now()
	var wait sync.WaitGroup
	for number := range c.Streams {
		wait.Add(1)
		start := began.Add(c.Stagger * time.Duration(number) / time.Duration(c.Streams))
		g.Run("stream", func(context.Context) {
			defer wait.Done()
			if !group.Sleep(ctx, time.Until(start)) {
				return
			}
			for repeat := range c.Repeats {
				one := &call{due: time.Now()}
				stream(ctx, client, address, one, chatRequest(model, fmt.Sprint("stream ", number, repeat), c.Tokens))
				m.take(one)
			}
		})
	}
	wait.Wait()
	return m.report(time.Since(began))
}
