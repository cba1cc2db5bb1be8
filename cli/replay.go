package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/state/admission"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/transport/gateway"
)

type replayCommand struct {
	*operatorOptions `no-flag:"true"`
	Service          string        `long:"service" required:"yes" description:"Service of the request"`
	Unit             string        `long:"unit" description:"MODEL or MODEL/ADAPTER; omit it for a plain service"`
	PromptTokens     int           `long:"prompt-tokens" description:"Number of tokens in the prompt"`
	Priority         int           `long:"rank" description:"Priority of the request; 0 is the most urgent"`
	Target           time.Duration `long:"target" default:"1s" description:"Target time to first byte"`
	MaxPause         time.Duration `long:"max-pause" description:"Longest pause between two events; omit it if the route sets none"`
	After            time.Duration `long:"after" description:"Time from the dump to the arrival of the request"`
	Tried            []string      `long:"tried" description:"Runner that has already been tried; may be repeated"`
	Arguments        struct {
		Dump string `positional-arg-name:"DUMP"`
	} `positional-args:"true" required:"true"`
}

// replayResult holds the candidates for a request and the admission decision, as the dumped process would make it.
type replayResult struct {
	Candidates []dispatch.Candidate `json:"endpoints"`
	Decision   admission.Decision   `json:"verdict"`
	// at is the time of the decision.
	at time.Time
}

// Execute repeats the scheduling decision for a request on the state in a dump.
func (c *replayCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Arguments.Dump)
	if err != nil {
		return withExitCode(ExitFailure, errors.WithStack(err))
	}
	var dump gateway.Dump
	if err := json.Unmarshal(data, &dump); err != nil {
		return withExitCode(ExitFailure, errors.Wrap(err, c.Arguments.Dump))
	}
	if dump.Scheduler.At.IsZero() {
		return withExitCode(ExitFailure, errors.Errorf("%s is not a dump of a gateway", c.Arguments.Dump))
	}
	result := c.decide(dump)
	return c.show(result, func(t *table) { printReplayResult(t, result) })
}

func (c *replayCommand) decide(dump gateway.Dump) replayResult {
	now := dump.Scheduler.At.Add(c.After)
	request := c.request(now)
	candidates := dispatch.Restore(dump.Scheduler).Candidates(now, request, dump.Endpoints(c.Service), c.Tried)
	result := replayResult{Candidates: candidates, at: now}
	if len(candidates) == 0 || candidates[0].IneligibleReason != "" {
		result.Decision.Reason = "no endpoint can take it"
		return result
	}
	result.Decision = admission.Decide(now, request, candidates[0].Prediction())
	return result
}

func (c *replayCommand) request(now time.Time) *fleet.Request {
	model, adapter, _ := strings.Cut(c.Unit, "/")
	kind := routes.Stream
	if model == "" {
		kind = routes.Safe
	}
	return &fleet.Request{
		Kind: kind, Priority: c.Priority, Unit: fleet.Unit{Model: model, Adapter: adapter}, PromptTokens: c.PromptTokens,
		Parts: []fleet.PromptPart{{Tokens: c.PromptTokens}}, ArrivedAt: now, TargetLatency: c.Target,
		MaxPause: c.MaxPause,
	}
}

func printReplayResult(t *table, result replayResult) {
	t.writeRow("ENDPOINT", "DOMAIN", "COST MS", "WAIT MS", "FAILURES MS", "AWAY MS", "PAUSES MS", "DUTY", "BACKLOG", "REMARK")
	for _, c := range result.Candidates {
		remark := c.IneligibleReason
		switch {
		case remark == "" && c.LastChoiceReason != "":
			remark = "last choice: " + c.LastChoiceReason
		case remark == "" && c.AdapterNotLoaded:
			remark = "the adapter must be loaded first"
		}
		if !c.ReasonUntil.IsZero() {
			remark += fmt.Sprintf(", for %d ms", max(0, c.ReasonUntil.Sub(result.at).Milliseconds()))
		}
		t.writeRow(
			c.Runner.ID, c.Runner.Domain, c.Cost.Milliseconds(), c.Wait.Milliseconds(), c.FailurePenalty.Milliseconds(),
			c.CrossDomainPenalty.Milliseconds(), c.PausePenalty.Milliseconds(), fmt.Sprintf("%.2f", c.PrefillUtilization), c.Backlog, remark,
		)
	}
	switch {
	case result.Decision.Admitted:
		t.writeLine("sent to the first one")
	case result.Decision.Deferred:
		t.writeLine("deferred: " + result.Decision.Reason)
	default:
		t.writeLine("refused: " + result.Decision.Reason)
	}
}
