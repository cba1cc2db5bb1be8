package cli

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/protocol/operator"
	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/transport/operatorapi"
)

type getCommand struct {
	*operatorOptions `no-flag:"true"`
	Arguments        struct {
		Names []string `positional-arg-name:"KIND[/NAME]"`
	} `positional-args:"true"`
}

// Execute shows the objects.
func (c *getCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := operatorContext(callLimit)
	defer cancel()
	published, err := client.Catalog(ctx)
	if err != nil {
		return unavailable(err)
	}
	objects := c.selected(published.Objects)
	if len(objects) == 0 && len(c.Arguments.Names) > 0 {
		return exitWith(ExitFailure, errors.Errorf("no object matches %s", strings.Join(c.Arguments.Names, " ")))
	}
	return c.show(objects, func(t *table) {
		t.row("KIND", "NAME", "REVISION", "SPEC")
		for _, object := range objects {
			t.row(object.Kind, object.Name, object.Revision, string(object.Spec))
		}
	})
}

func (c *getCommand) selected(objects []catalog.Object) []catalog.Object {
	if len(c.Arguments.Names) == 0 {
		return objects
	}
	var found []catalog.Object
	for _, object := range objects {
		names := []string{object.String(), string(object.Kind)}
		if slices.ContainsFunc(c.Arguments.Names, func(name string) bool { return slices.Contains(names, name) }) {
			found = append(found, object)
		}
	}
	return found
}

type statusCommand struct {
	*operatorOptions `no-flag:"true"`
}

// Execute shows the status.
func (c *statusCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := operatorContext(callLimit)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return unavailable(err)
	}
	return c.show(status, func(t *table) { printStatus(t, status) })
}

func printStatus(t *table, status operator.Status) {
	t.line(fmt.Sprintf("revision %d in force on %s (%s)", status.Revision, status.VM, status.Domain))
	if status.KeyValue != "" {
		t.line("key-value service: " + status.KeyValue)
	}
	t.line("")
	t.row("VM", "DOMAIN", "STATE", "REVISION", "ENTRY", "CONTROLLER", "HEARD")
	for _, member := range status.Members {
		controller := "-"
		if member.Term != 0 {
			controller = fmt.Sprintf("term %d", member.Term)
		}
		t.row(member.Name, member.Domain, member.State, member.Revision, member.EntryRevision, controller,
			member.SinceLastContact.Round(time.Millisecond))
	}
	t.line("")
	t.row("RUNNER", "DOMAIN", "STATE", "RUNNING", "WAITING", "ITEMS", "AGE")
	for _, runner := range status.Runners {
		t.row(runner.Runner, runner.Domain, runnerState(runner), runner.Running, runner.Waiting, len(runner.Items),
			runner.Age.Round(time.Millisecond))
	}
	t.line("")
	t.row("MODEL", "READY ON", "NOTE")
	for _, unit := range status.Units {
		t.row(unit.Name, dash(strings.Join(unit.Runners, " ")), dash(unit.Reason))
	}
}

func runnerState(runner operator.RunnerStatus) string {
	switch {
	case !runner.Reachable:
		return "unreachable"
	case runner.Draining:
		return "leaving"
	default:
		return "ready"
	}
}

type explainCommand struct {
	*operatorOptions `no-flag:"true"`
	Arguments        struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true" required:"true"`
}

// Execute shows the explanation.
func (c *explainCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := operatorContext(callLimit)
	defer cancel()
	explanation, err := client.Explain(ctx, c.Arguments.Name)
	if err != nil {
		return unavailable(err)
	}
	return c.show(explanation, func(t *table) { printExplanation(t, explanation) })
}

func printExplanation(t *table, e operator.Explanation) {
	if !e.Known {
		t.line("no published object serves " + e.Name)
		return
	}
	if e.Service != "" {
		t.line("calls go to the plain service " + e.Service)
		return
	}
	t.row("unit", e.Unit)
	t.row("adapter", dash(e.Adapter))
	t.row("must be held in", dash(strings.Join(e.MustHold, " ")))
	t.row("requests in flight", fmt.Sprintf("%.1f", e.RequestsInFlight))
	for _, runner := range e.ReadyRunners {
		t.row("ready on", runner.Runner, runner.Domain, fmt.Sprintf("%d running, %d waiting", runner.Running, runner.Waiting))
	}
	for _, move := range e.PlannedMoves {
		t.row("being loaded on", move.Runner, move.Reason)
	}
	for _, move := range e.DeferredMoves {
		t.row("to be loaded on", move.Runner, move.Reason, "waits for the weight store's budget")
	}
	for _, shortage := range e.Shortages {
		t.row("short", shortage.Reason)
	}
	for _, ledger := range e.Ledgers {
		for _, item := range ledger.Items {
			if item.Name == e.Unit || item.Name == e.Adapter {
				t.row("ledger", ledger.Runner, item.Name, string(item.State), dash(ledger.WaitsFor))
			}
		}
	}
}

type historyCommand struct {
	*operatorOptions `no-flag:"true"`
}

// Execute shows the history.
func (c *historyCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := operatorContext(callLimit)
	defer cancel()
	published, err := client.Catalog(ctx)
	if err != nil {
		return unavailable(err)
	}
	return c.show(published.History, func(t *table) {
		t.row("REVISION", "AT", "AUTHOR", "PUT", "DELETED", "CHANGE", "SUMMARY")
		for _, change := range published.History {
			t.row(change.Revision, change.At.Format(time.RFC3339), change.Author, change.Put, change.Deleted,
				change.ID, dash(change.Summary))
		}
	})
}

// processArgument is the operations address of one process.
type processArgument struct {
	Address string `positional-arg-name:"ADDRESS"`
}

func (a processArgument) parse() (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(a.Address)
	return address, exitWith(ExitUsage, errors.Wrap(err, "address"))
}

// ask calls one process by its operations address.
func (o *operatorOptions) ask(
	argument processArgument,
	call func(ctx context.Context, client *operatorapi.Client, address netip.AddrPort) error,
) error {
	address, err := argument.parse()
	if err != nil {
		return err
	}
	ctx, cancel := operatorContext(callLimit)
	defer cancel()
	return unavailable(call(ctx, operatorapi.NewClient(nil), address))
}

type dumpCommand struct {
	*operatorOptions `no-flag:"true"`
	Arguments        processArgument `positional-args:"true" required:"true"`
}

// Execute prints the dump, which is always JSON.
func (c *dumpCommand) Execute([]string) error {
	return c.ask(c.Arguments, func(ctx context.Context, client *operatorapi.Client, address netip.AddrPort) error {
		state, err := client.Dump(ctx, address)
		if err != nil {
			return err
		}
		return printJSON(c.out, state)
	})
}

type drainCommand struct {
	*operatorOptions `no-flag:"true"`
	Arguments        processArgument `positional-args:"true" required:"true"`
}

// Execute asks for the drain.
func (c *drainCommand) Execute([]string) error {
	return c.ask(c.Arguments, func(ctx context.Context, client *operatorapi.Client, address netip.AddrPort) error {
		if err := client.Drain(ctx, address); err != nil {
			return err
		}
		_, err := fmt.Fprintln(c.out, "the process is draining and will stop by itself")
		return err
	})
}
