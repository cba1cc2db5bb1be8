package cli

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/load"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/operatorapi"
)

const (
	// loadTimeoutMargin is the time that a measurement may take in addition to the planned duration of the load.
	loadTimeoutMargin = 5 * time.Minute
	// minRequestsPerStream and maxRequestsPerStream bound the number of requests that each stream of a comparison
	// sends.
	minRequestsPerStream = 3
	maxRequestsPerStream = 12
)

func parseAddresses(names []string) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, len(names))
	for _, name := range names {
		address, err := netip.ParseAddrPort(name)
		if err != nil {
			return nil, withExitCode(ExitUsage, errors.Wrapf(err, "address %q", name))
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// runLoad runs a measurement in its own goroutine group and cancels it after the limit.
func runLoad(limit time.Duration, measure func(ctx context.Context, g *group.Group) error) error {
	ctx, cancel := operatorContext(limit)
	defer cancel()
	g, err := group.New(ctx)
	if err != nil {
		return err
	}
	err = measure(ctx, g)
	if stopErr := g.Stop(); err == nil {
		err = stopErr
	}
	return err
}

type loadCommand struct {
	*operatorOptions `no-flag:"true"`
	Entries          []string      `long:"entry" required:"true" description:"Caller address of an entry; may be repeated"`
	Models           []string      `long:"model" required:"true" description:"Model to request, most popular first; may be repeated"`
	Rate             float64       `long:"rate" default:"10" description:"Mean number of requests a second"`
	Duration         time.Duration `long:"duration" default:"10s" description:"Duration of the load"`
	Seed             uint64        `long:"seed" default:"1" description:"Seed of arrivals, models and prompts"`
	Burst            float64       `long:"burst" default:"1" description:"Factor by which the rate rises in every fourth period"`
	BurstPeriod      time.Duration `long:"burst-period" default:"2s" description:"Duration of a period"`
	Skew             float64       `long:"skew" default:"1" description:"Zipf exponent of the popularity of the models"`
	PrefixShare      float64       `long:"prefix-share" default:"0.5" description:"Fraction of prompts that share a prefix"`
	Prefixes         int           `long:"prefixes" default:"8" description:"Number of shared prefixes"`
	PromptWords      int           `long:"prompt-words" default:"64" description:"Number of words in a prompt"`
	Tokens           int           `long:"tokens" default:"64" description:"Number of tokens in an answer"`
	BookingShare     float64       `long:"booking-share" default:"0" description:"Fraction of requests that are bookings with an idempotency key"`
	BookingRoute     string        `long:"booking-route" default:"booking-desk" description:"Route of the bookings"`
	FirstToken       time.Duration `long:"first-token" default:"420ms" description:"Target time to first token"`
	Plot             string        `long:"plot" description:"File to write an SVG plot to"`
}

// Execute sends the load and prints a report of what callers observe.
func (c *loadCommand) Execute([]string) error {
	addresses, err := parseAddresses(c.Entries)
	if err != nil {
		return err
	}
	plan := load.Plan{
		Seed: c.Seed, Rate: c.Rate, Duration: c.Duration, Burst: c.Burst, BurstPeriod: c.BurstPeriod,
		Models: c.Models, Skew: c.Skew, PrefixShare: c.PrefixShare, Prefixes: c.Prefixes,
		PromptWords: c.PromptWords, Tokens: c.Tokens, BookingShare: c.BookingShare, BookingRoute: c.BookingRoute,
	}
	return runLoad(c.Duration+loadTimeoutMargin, func(ctx context.Context, g *group.Group) error {
		report := load.Run(ctx, g, plan, load.Target{Addresses: addresses, FirstToken: c.FirstToken})
		if err := c.plot(report); err != nil {
			return err
		}
		return c.show(report, func(t *table) { printReport(t, report) })
	})
}

func (c *loadCommand) plot(report load.Report) error {
	if c.Plot == "" {
		return nil
	}
	return writePlot(c.Plot, "load", []load.Series{
		{Name: "first", Summary: report.FirstToken},
		{Name: "between", Summary: report.BetweenTokens},
	})
}

func writePlot(file, title string, series []load.Series) error {
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "create plot")
	}
	err = load.Plot(out, title, series)
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	return err
}

func printReport(t *table, report load.Report) {
	t.writeLine(fmt.Sprintf("%d requests, %d tokens in %s; first token within target: %.1f%%",
		report.Requests, report.Tokens, report.Elapsed.Round(time.Millisecond), report.Attainment*100))
	for _, outcome := range report.Outcomes {
		t.writeRow("outcome", outcome.Outcome, outcome.Count)
	}
	t.writeRow("TIMING", "COUNT", "P50", "P95", "P99", "MAX")
	printSummary(t, "first token", report.FirstToken)
	printSummary(t, "between tokens", report.BetweenTokens)
	printSummary(t, "whole answer", report.Total)
}

func printSummary(t *table, name string, s load.Summary) {
	t.writeRow(name, s.Count, s.Median, s.P95, s.P99, s.Max)
}

type overheadCommand struct {
	*operatorOptions `no-flag:"true"`
	Entry            string `long:"entry" required:"true" description:"Caller address of the entry"`
	Operations       string `long:"entry-operations" required:"true" description:"Operations address of the entry"`
	Engine           string `long:"engine" required:"true" description:"Address of an engine that has the model loaded"`
	Model            string `long:"model" required:"true" description:"Model to request"`
	Streams          []int  `long:"streams" default:"1" default:"64" default:"1000" description:"Number of concurrent streams; may be repeated"`
	Requests         int    `long:"requests" default:"640" description:"Approximate number of requests for each number of streams"`
	Tokens           int    `long:"tokens" default:"32" description:"Number of tokens in an answer"`
	Plot             string `long:"plot" description:"File to write an SVG plot to"`
}

// comparison holds the measurements for one number of streams, directly against the engine and through the entry.
type comparison struct {
	Streams     int           `json:"streams"`
	Direct      load.Report   `json:"direct"`
	Entry       load.Report   `json:"entry"`
	AddedP50    time.Duration `json:"addedP50Ns"`
	AddedP99    time.Duration `json:"addedP99Ns"`
	CPUPerToken time.Duration `json:"cpuPerTokenNs"`
}

// Execute measures the engine directly and through the entry, one after the other.
func (c *overheadCommand) Execute([]string) error {
	addresses, err := parseAddresses([]string{c.Entry, c.Operations, c.Engine})
	if err != nil {
		return err
	}
	return runLoad(loadTimeoutMargin, func(ctx context.Context, g *group.Group) error {
		var rows []comparison
		for _, streams := range c.Streams {
			row, err := c.compare(ctx, g, addresses, streams)
			if err != nil {
				return err
			}
			rows = append(rows, row)
		}
		if err := c.plot(rows); err != nil {
			return err
		}
		return c.show(rows, func(t *table) { printComparisons(t, rows) })
	})
}

func (c *overheadCommand) compare(
	ctx context.Context,
	g *group.Group,
	addresses []netip.AddrPort,
	streams int,
) (comparison, error) {
	requestsPerStream := min(maxRequestsPerStream, max(minRequestsPerStream, c.Requests/streams))
	entry, operations, engine := addresses[0], addresses[1], addresses[2]
	warmUp := load.RunStreams(ctx, g, entry, c.Model, load.Concurrency{Streams: streams, RequestsPerStream: 1, Tokens: c.Tokens})
	concurrency := load.Concurrency{Streams: streams, RequestsPerStream: requestsPerStream, Tokens: c.Tokens, Stagger: warmUp.Total.Mean}
	direct := load.RunStreams(ctx, g, engine, c.Model, concurrency)
	client := operatorapi.NewClient(nil)
	cpuBefore, err := client.CPU(ctx, operations)
	if err != nil {
		return comparison{}, unavailableError(err)
	}
	viaEntry := load.RunStreams(ctx, g, entry, c.Model, concurrency)
	cpuAfter, err := client.CPU(ctx, operations)
	if err != nil {
		return comparison{}, unavailableError(err)
	}
	return comparison{
		Streams:     streams,
		Direct:      direct,
		Entry:       viaEntry,
		AddedP50:    viaEntry.FirstToken.Median - direct.FirstToken.Median,
		AddedP99:    viaEntry.FirstToken.P99 - direct.FirstToken.P99,
		CPUPerToken: (cpuAfter - cpuBefore) / time.Duration(max(1, viaEntry.Tokens)),
	}, nil
}

func (c *overheadCommand) plot(rows []comparison) error {
	if c.Plot == "" {
		return nil
	}
	var series []load.Series
	for _, row := range rows {
		series = append(series,
			load.Series{Name: fmt.Sprintf("%d direct", row.Streams), Summary: row.Direct.FirstToken},
			load.Series{Name: fmt.Sprintf("%d entry", row.Streams), Summary: row.Entry.FirstToken})
	}
	return writePlot(c.Plot, "first token", series)
}

func printComparisons(t *table, rows []comparison) {
	t.writeRow("STREAMS", "REQUESTS", "DIRECT P50", "ENTRY P50", "ADDED P50", "DIRECT P99", "ENTRY P99", "ADDED P99", "CPU/TOKEN", "NOT WHOLE")
	for _, row := range rows {
		incomplete := 0
		for _, outcome := range row.Entry.Outcomes {
			if outcome.Outcome != "whole" {
				incomplete += outcome.Count
			}
		}
		t.writeRow(row.Streams, row.Entry.Requests, row.Direct.FirstToken.Median, row.Entry.FirstToken.Median, row.AddedP50,
			row.Direct.FirstToken.P99, row.Entry.FirstToken.P99, row.AddedP99, row.CPUPerToken, incomplete)
	}
}
