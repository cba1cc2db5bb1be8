package gateway

import (
	"context"
	"time"

	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/protocol/operator"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/state/workspaces"
)

// where returns where a described request would go now, by the code that decides on requests. It changes nothing: it decides on
// views and previews of the state, and draws no random number.
func (g *Gateway) where(now time.Time, q operator.WhereQuery) (operator.WhereAnswer, error) {
	answer := operator.WhereAnswer{VM: g.settings.Name}
	table := g.table.Load()
	if table == nil {
		refuseWhere(&answer, statusServiceUnavailable, "the VM has no configuration", noConfigurationRetryAfter)
		return answer, nil
	}
	answer.ConfigurationVersion = table.Version
	workspace, err := namedWorkspace(table, q.Workspace)
	if err != nil {
		return answer, err
	}
	route := table.Match(q.Host, q.Path)
	if route == nil {
		refuseWhere(&answer, statusNotFound, "no route for this host and path", 0)
		return answer, nil
	}
	x, err := g.describedExchange(now, q, table, route, workspace, &answer)
	if err != nil {
		return answer, err
	}
	g.decideWhere(now, x, &answer)
	switch {
	case g.refusing.Load():
		refuseWhere(&answer, statusServiceUnavailable, "the process stops", time.Millisecond)
	case table.Workspaces != nil && workspace == nil && !route.Public:
		refuseWhere(&answer, statusUnauthorized, "the route needs the key of a workspace", 0)
	case answer.Allowance != nil && !answer.Allowance.Admitted:
		refuseWhere(&answer, statusTooManyRequests, "the allowance of the workspace is used up", 0)
		answer.RetryAfterMs = answer.Allowance.RetryAfterMs
	}
	return answer, nil
}

func namedWorkspace(table *routes.Table, name string) (*workspaces.Workspace, error) {
	if name == "" {
		return nil, nil
	}
	if table.Workspaces == nil {
		return nil, &operator.FieldError{Field: "workspace", Problem: "the configuration has no workspaces"}
	}
	workspace := table.Workspaces.Named(name)
	if workspace == nil {
		return nil, &operator.FieldError{Field: "workspace", Problem: "the configuration has none of this name"}
	}
	return workspace, nil
}

// describedExchange returns the exchange of a described request, as if its caller had sent it now.
func (g *Gateway) describedExchange(
	now time.Time, q operator.WhereQuery, table *routes.Table, route *routes.Route, workspace *workspaces.Workspace,
	answer *operator.WhereAnswer,
) (*exchange, error) {
	x := &exchange{
		gateway: g, route: route, configurationVersion: table.Version, maxRuns: route.MaxRuns, service: route.Pick(0),
		machine: lifecycle.New(lifecycle.Limits{Retryable: route.Retryable(), MaxRuns: route.MaxRuns}, nil),
		request: fleet.Request{
			Unit: fleet.Unit{Model: q.Model, Adapter: q.Adapter}, OutputTokens: q.OutputTokens, HasTokens: len(q.Prompt) > 0,
			ArrivedAt: now, Target: q.Path,
		},
	}
	isService := false
	for _, s := range route.TrafficSplit {
		if s.Weight > 0 {
			answer.Services = append(answer.Services, s.Service)
			isService = isService || s.Service == q.Service
		}
	}
	if q.Service != "" {
		if !isService {
			return nil, &operator.FieldError{Field: "service", Problem: "route " + route.Name + " does not send requests there"}
		}
		x.service = q.Service
	}
	for _, part := range q.Prompt {
		x.request.Parts = append(x.request.Parts, fleet.PromptPart{ID: platform.PromptPartID(part.ID), Tokens: part.Tokens})
		x.request.PromptTokens += part.Tokens
	}
	x.setWorkspace(table, workspace)
	if q.Priority != nil {
		x.request.Priority = *q.Priority
	}
	x.applyRoute(time.Duration(q.TimeoutMs) * time.Millisecond)
	answer.Route, answer.Service, answer.Priority = route.Name, x.service, x.request.Priority
	return x, nil
}

// decideWhere decides on a described request.
func (g *Gateway) decideWhere(now time.Time, x *exchange, answer *operator.WhereAnswer) {
	w := g.newWait(context.Background(), x)
	g.mu.Lock()
	defer g.mu.Unlock()
	scheduler, runners := g.scheduler.View(), x.endpoints(g.directory.OfService(x.service), "")
	w.options = optionsAmong(now, x, scheduler, runners, nil, 0)
	if u, missing, _ := g.findUnloaded(now, x, runners); missing != nil {
		w.options.unloaded, w.options.isUnloaded = u, true
	}
	v := w.judge(now, w.options)
	answer.PathLost = g.path.Lost()
	answer.Queue = operator.WhereQueue{Waiting: g.queue.Len(), Ahead: g.queue.Ahead(now, w.entry)}
	answer.Allowance = g.previewAllowance(now, x)
	answer.Candidates = whereCandidates(
		now, scheduler.Candidates(now, &x.request, runners, nil), scheduler.Contenders(now, &x.request, runners, nil),
	)
	answer.Outcome = operator.OutcomeSent
	if w.options.ok {
		answer.Endpoint = w.options.choice.Runner.ID
	}
	retryAfter, _ := g.crashes.parts.RetryAfter(now, x.request.SharedParts())
	switch {
	case retryAfter > 0:
		refuseWhere(answer, statusServiceUnavailable, "a part of the prompt has crashed several endpoints", retryAfter)
	case v.refused:
		told := toldRefusal(v.reason, g.returns.Preview(now, g.refusal(now, x, v.retryAfter), 0))
		refuseWhere(answer, statusServiceUnavailable, told.Reason, told.RetryAfter)
	case v.wait > 0:
		answer.Outcome, answer.Reason = operator.OutcomeWaits, v.reason
	case answer.Queue.Ahead > 0:
		answer.Outcome, answer.Reason = operator.OutcomeWaits, "others wait that come before it"
	}
	if v.prepare && w.options.choice.AdapterNotLoaded {
		answer.Prepare = append(answer.Prepare, "adapter")
	}
	if v.prepare && w.options.choice.Limited {
		answer.Prepare = append(answer.Prepare, "permit")
	}
}

// previewAllowance says whether the allowance of the workspace would admit a request, or nil without a workspace. The caller must
// hold the lock.
func (g *Gateway) previewAllowance(now time.Time, x *exchange) *operator.WhereAllowance {
	if x.workspace == nil {
		return nil
	}
	cost := requestCost(&x.request, x.workspace.Limit)
	p := g.allowances.ledger.Preview(now, x.workspace, cost, g.members(), g.reportInterval())
	return &operator.WhereAllowance{
		Cost: cost, Admitted: p.Decision.Admitted, Chance: p.Chance, Rule: string(p.Decision.Rule),
		RetryAfterMs: toMs(p.Decision.RetryAfter),
	}
}

func refuseWhere(answer *operator.WhereAnswer, status int, reason string, retryAfter time.Duration) {
	answer.Outcome, answer.Status, answer.Reason = operator.OutcomeRefused, status, reason
	answer.RetryAfterMs = toMs(retryAfter)
}

// whereCandidates returns all candidates. The costs of contenders are those with which they contend.
func whereCandidates(now time.Time, all, contenders []dispatch.Candidate) []operator.WhereCandidate {
	contending := make(map[string]dispatch.Candidate, len(contenders))
	for _, c := range contenders {
		contending[c.Runner.ID] = c
	}
	candidates := make([]operator.WhereCandidate, 0, len(all))
	for _, c := range all {
		contender, contends := contending[c.Runner.ID]
		if contends {
			c.Choice, c.Cost = contender.Choice, contender.Cost
		}
		shown := operator.WhereCandidate{
			Endpoint: c.Runner.ID, Domain: c.Runner.Domain, Contender: contends, CostMs: toMs(c.Cost), WaitMs: toMs(c.Wait),
			RoomWaitMs: toMs(c.RoomWait), PermitWaitMs: toMs(c.PermitWait), FailurePenaltyMs: toMs(c.FailurePenalty),
			CrossDomainPenaltyMs: toMs(c.CrossDomainPenalty), PausePenaltyMs: toMs(c.PausePenalty),
			PrefillUtilization: c.PrefillUtilization, BacklogTokens: c.Backlog, PrefillTokens: c.PrefillTokens,
			AdapterNotLoaded: c.AdapterNotLoaded, NotAdmitted: c.NotAdmitted, Reason: c.IneligibleReason,
		}
		if c.LastChoiceReason != "" {
			shown.Reason, shown.LastChoice = c.LastChoiceReason, true
		}
		if !c.ReasonUntil.IsZero() {
			shown.ReasonForMs = toMs(max(0, c.ReasonUntil.Sub(now)))
		}
		candidates = append(candidates, shown)
	}
	return candidates
}

func toMs(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
