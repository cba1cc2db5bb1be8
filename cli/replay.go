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
	Rank             int           `long:"rank" description:"Priority of the request; 0 is the most urgent"`
	Target           time.Duration `long:"target" default:"1s" description:"Target time to first byte"`
	After            time.Duration `long:"after" description:"Time from the dump to the arrival of the request"`
	Tried            []string      `long:"tried" description:"Runner that has already been tried; may be repeated"`
	Arguments        struct {
		Dump string `positional-arg-name:"DUMP"`
	} `positional-args:"true" required:"true"`
}

// decision holds the candidates for a request and the admission decision, as the dumped process would make it.
type decision struct {
	Endpoints []dispatch.Candidate `json:"endpoints"`
	Verdict   admission.Decision   `json:"verdict"`
}

// Execute repeats the scheduling decision for a request on the state in a dump.
func (c *replayCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Arguments.Dump)
	if err != nil {
		return exitWith(ExitFailure, errors.WithStack(err))
	}
	var dump gateway.Dump
	if err := json.Unmarshal(data, &dump); err != nil {
		return exitWith(ExitFailure, errors.Wrap(err, c.Arguments.Dump))
	}
	if dump.Desk.At.IsZero() {
		return exitWith(ExitFailure, errors.Errorf("%s is not a dump of a gateway", c.Arguments.Dump))
	}
	d := c.decide(dump)
	return c.show(d, func(t *table) { printDecision(t, d) })
}

func (c *replayCommand) decide(dump gateway.Dump) decision {
	now := dump.Desk.At.Add(c.After)
	request := c.request(now)
	weighed := dispatch.Restore(dump.Desk).Candidates(now, request, dump.Endpoints(c.Service), c.Tried)
	d := decision{Endpoints: weighed}
	if len(weighed) == 0 || weighed[0].IneligibleReason != "" {
		d.Verdict.Reason = "no endpoint can take it"
		return d
	}
	d.Verdict = admission.Decide(now, request, weighed[0].Prediction())
	return d
}

func (c *replayCommand) request(now time.Time) *fleet.Request {
	model, adapter, _ := strings.Cut(c.Unit, "/")
	kind := routes.Stream
	if model == "" {
		kind = routes.Safe
	}
	return &fleet.Request{
		Kind: kind, Priority: c.Rank, Unit: fleet.Unit{Model: model, Adapter: adapter}, PromptTokens: c.PromptTokens,
		Parts: []fleet.PromptPart{{Tokens: c.PromptTokens}}, ArrivedAt: now, TargetLatency: c.Target,
	}
}

func printDecision(t *table, d decision) {
	t.row("ENDPOINT", "DOMAIN", "COST MS", "WAIT MS", "FAILURES MS", "AWAY MS", "DUTY", "BACKLOG", "REMARK")
	for _, w := range d.Endpoints {
		remark := w.IneligibleReason
		switch {
		case remark == "" && w.LastChoiceReason != "":
			remark = "last choice: " + w.LastChoiceReason
		case remark == "" && w.AdapterNotLoaded:
			remark = "the adapter must be loaded first"
		}
		t.row(
			w.Runner.ID, w.Runner.Domain, w.Cost.Milliseconds(), w.Wait.Milliseconds(), w.FailurePenalty.Milliseconds(),
			w.CrossDomainPenalty.Milliseconds(), fmt.Sprintf("%.2f", w.PrefillUtilization), w.Backlog, remark,
		)
	}
	switch {
	case d.Verdict.Admitted:
		t.line("sent to the first one")
	case d.Verdict.Deferred:
		t.line("deferred: " + d.Verdict.Reason)
	default:
		t.line("refused: " + d.Verdict.Reason)
	}
}
