package cli

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/protocol/operator"
	"github.com/zinniaroute/zinniaroute/transport/operatorapi"
)

type whereCommand struct {
	*operatorOptions `no-flag:"true"`
	File             string          `long:"file" description:"JSON file with the description of the request; other options replace its fields"`
	Host             string          `long:"host" description:"Host of the request"`
	Path             string          `long:"path" description:"Path of the request"`
	Model            string          `long:"model" description:"Model; omit it for a plain service"`
	Adapter          string          `long:"adapter" description:"Adapter of the model"`
	Prompt           []string        `long:"prompt" description:"Part of the prompt as ID:TOKENS; may be repeated, in order"`
	OutputTokens     int             `long:"output-tokens" description:"Number of tokens of the answer"`
	Workspace        string          `long:"workspace" description:"Name of the caller's workspace"`
	Priority         *int            `long:"priority" description:"Rank of the request, 0 is the most urgent; default: by workspace and route"`
	Service          string          `long:"service" description:"One of the services of a route that has several"`
	Timeout          time.Duration   `long:"timeout" description:"Time for which the caller waits; default: that of the route"`
	Arguments        processArgument `positional-args:"true" required:"true"`
}

// Execute shows where the gateway would send the described request.
func (c *whereCommand) Execute([]string) error {
	query, err := c.query()
	if err != nil {
		return withExitCode(ExitFindings, err)
	}
	return c.callProcess(c.Arguments, func(ctx context.Context, client *operatorapi.Client, address netip.AddrPort) error {
		answer, err := client.Where(ctx, address, query)
		if errors.Is(err, operatorapi.ErrInvalid) {
			return withExitCode(ExitFindings, err)
		}
		if err != nil {
			return err
		}
		return c.show(answer, func(t *table) { printWhere(t, answer) })
	})
}

// query returns the description in the file, with the fields that options name replaced.
func (c *whereCommand) query() (operator.WhereQuery, error) {
	var q operator.WhereQuery
	if c.File != "" {
		data, err := os.ReadFile(c.File)
		if err != nil {
			return q, errors.WithStack(err)
		}
		if q, err = operator.DecodeWhereQuery(data); err != nil {
			return q, errors.Wrap(err, c.File)
		}
	}
	for _, option := range []struct {
		value string
		field *string
	}{
		{c.Host, &q.Host},
		{c.Path, &q.Path},
		{c.Model, &q.Model},
		{c.Adapter, &q.Adapter},
		{c.Workspace, &q.Workspace},
		{c.Service, &q.Service},
	} {
		if option.value != "" {
			*option.field = option.value
		}
	}
	if c.OutputTokens != 0 {
		q.OutputTokens = c.OutputTokens
	}
	if c.Priority != nil {
		q.Priority = c.Priority
	}
	if c.Timeout != 0 {
		q.TimeoutMs = c.Timeout.Milliseconds()
	}
	if len(c.Prompt) > 0 {
		q.Prompt = nil
	}
	for i, text := range c.Prompt {
		id, count, _ := strings.Cut(text, ":")
		tokens, err := strconv.Atoi(count)
		if err != nil {
			return q, errors.Errorf("prompt[%d]: %q is not ID:TOKENS", i, text)
		}
		q.Prompt = append(q.Prompt, operator.PromptPart{ID: id, Tokens: tokens})
	}
	return q, q.Validate()
}

func printWhere(t *table, a operator.WhereAnswer) {
	t.writeLine(fmt.Sprintf("vm %s, configuration %d", a.VM, a.ConfigurationVersion))
	t.writeLine("route " + orDash(a.Route) + ", service " + orDash(a.Service) + ", priority " + strconv.Itoa(a.Priority))
	if len(a.Services) > 1 {
		t.writeLine("the route divides its requests among " + strings.Join(a.Services, ", "))
	}
	t.writeLine(whereOutcome(a))
	t.writeLine(fmt.Sprintf("queue: %d wait, %d come before it", a.Queue.Waiting, a.Queue.Ahead))
	if l := a.Allowance; l != nil {
		t.writeLine(fmt.Sprintf("allowance: cost %.0f, chance %.2f (%s)", l.Cost, l.Chance, l.Rule))
	}
	if a.PathLost {
		t.writeLine("the VM has no path to the endpoints and forwards requests to another VM")
	}
	if len(a.Candidates) == 0 {
		return
	}
	t.writeRow(
		"ENDPOINT", "DOMAIN", "DRAWN", "COST MS", "WAIT MS", "ROOM MS", "FAILURES MS", "AWAY MS", "PAUSES MS", "PREFILL", "BACKLOG",
		"TOKENS", "REMARK",
	)
	for _, c := range a.Candidates {
		drawn := "-"
		if c.Contender {
			drawn = "yes"
		}
		t.writeRow(
			c.Endpoint, c.Domain, drawn, c.CostMs, c.WaitMs, c.RoomWaitMs, c.FailurePenaltyMs, c.CrossDomainPenaltyMs,
			c.PausePenaltyMs, fmt.Sprintf("%.2f", c.PrefillUtilization), c.BacklogTokens, c.PrefillTokens, whereRemark(c),
		)
	}
}

func whereOutcome(a operator.WhereAnswer) string {
	switch a.Outcome {
	case operator.OutcomeSent:
		text := "sent to " + a.Endpoint
		if len(a.Prepare) > 0 {
			text += ", which needs first: " + strings.Join(a.Prepare, ", ")
		}
		return text
	case operator.OutcomeRefused:
		return fmt.Sprintf("refused with status %d, Retry-After %.3f s: %s", a.Status, a.RetryAfterMs/1000, a.Reason)
	default:
		return a.Outcome + ": " + a.Reason
	}
}

func whereRemark(c operator.WhereCandidate) string {
	remark := c.Reason
	switch {
	case c.LastChoice:
		remark = "last choice: " + remark
	case remark == "" && c.NotAdmitted:
		remark = "admission control would not send it there now"
	case remark == "" && c.AdapterNotLoaded:
		remark = "the adapter must be loaded first"
	}
	if c.ReasonForMs > 0 {
		remark += fmt.Sprintf(", for %.0f ms", c.ReasonForMs)
	}
	return remark
}
