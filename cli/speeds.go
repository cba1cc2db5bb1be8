package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/transport/gateway"
	"github.com/zinniaroute/zinniaroute/transport/operatorapi"
)

type speedsCommand struct {
	*operatorOptions `no-flag:"true"`
	Arguments        processArgument `positional-args:"true" required:"true"`
}

// endpointSpeed is what a gateway has learned of an endpoint.
type endpointSpeed struct {
	Runner  string  `json:"runner"`
	Service string  `json:"service"`
	Domain  string  `json:"domain"`
	Prefill float64 `json:"prefill"`
	Decode  float64 `json:"decode"`
	Plain   float64 `json:"plain"`
	Busy    float64 `json:"busy"`
	Limit   int     `json:"limit"`
	// Weight is the decayed number of samples of all kinds, and AgeMs the time since the estimate was made.
	Weight float64 `json:"weight"`
	AgeMs  int64   `json:"ageMs"`
}

// Execute shows how fast each endpoint is, relative to the others of its service, as the process has learned.
func (c *speedsCommand) Execute([]string) error {
	return c.callProcess(c.Arguments, func(ctx context.Context, client *operatorapi.Client, address netip.AddrPort) error {
		data, err := client.Dump(ctx, address)
		if err != nil {
			return err
		}
		var dump gateway.Dump
		if err := json.Unmarshal(data, &dump); err != nil {
			return errors.WithStack(err)
		}
		speeds := endpointSpeeds(dump)
		return c.show(speeds, func(t *table) { printSpeeds(t, speeds) })
	})
}

func endpointSpeeds(dump gateway.Dump) []endpointSpeed {
	var speeds []endpointSpeed
	for _, runner := range dump.Runners {
		known, ok := dump.Scheduler.Capacities[runner.ID]
		if !ok {
			known.Prefill, known.Decode, known.Plain, known.Busy = 1, 1, 1, 1
		}
		speeds = append(speeds, endpointSpeed{
			Runner: runner.ID, Service: runner.Service, Domain: runner.Domain, Prefill: known.Prefill, Decode: known.Decode,
			Plain: known.Plain, Busy: known.Busy, Limit: runner.Limit,
			Weight: known.PrefillWeight + known.DecodeWeight + known.PlainWeight, AgeMs: known.AgeMs,
		})
	}
	return speeds
}

func printSpeeds(t *table, speeds []endpointSpeed) {
	t.writeRow("ENDPOINT", "SERVICE", "DOMAIN", "PREFILL", "DECODE", "PLAIN", "BUSY", "LIMIT", "WEIGHT", "AGE")
	for _, s := range speeds {
		t.writeRow(
			s.Runner, s.Service, s.Domain, fmt.Sprintf("%.2f", s.Prefill), fmt.Sprintf("%.2f", s.Decode),
			fmt.Sprintf("%.2f", s.Plain), fmt.Sprintf("%.2f", s.Busy), s.Limit, fmt.Sprintf("%.1f", s.Weight),
			time.Duration(s.AgeMs)*time.Millisecond,
		)
	}
}
