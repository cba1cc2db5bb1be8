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

// Execute shows the published objects that the arguments select.
func (c *getCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := operatorContext(callTimeout)
	defer cancel()
	published, err := client.Catalog(ctx)
	if err != nil {
		return unavailableError(err)
	}
	objects := c.selectObjects(published.Objects)
	if len(objects) == 0 && len(c.Arguments.Names) > 0 {
		return withExitCode(ExitFailure, errors.Errorf("no object matches %s", strings.Join(c.Arguments.Names, " ")))
	}
	return c.show(objects, func(t *table) {
		t.writeRow("KIND", "NAME", "REVISION", "SPEC")
		for _, object := range objects {
			t.writeRow(object.Kind, object.Name, object.Revision, string(object.Spec))
		}
	})
}

func (c *getCommand) selectObjects(objects []catalog.Object) []catalog.Object {
	if len(c.Arguments.Names) == 0 {
		return objects
	}
	var matches []catalog.Object
	for _, object := range objects {
		names := []string{object.String(), string(object.Kind)}
		if slices.ContainsFunc(c.Arguments.Names, func(name string) bool { return slices.Contains(names, name) }) {
			matches = append(matches, object)
		}
	}
	return matches
}

type statusCommand struct {
	*operatorOptions `no-flag:"true"`
}

// Execute shows the catalog revision in force, the VMs, runners and models.
func (c *statusCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := operatorContext(callTimeout)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return unavailableError(err)
	}
	return c.show(status, func(t *table) { printStatus(t, status) })
}

func printStatus(t *table, status operator.Status) {
	t.writeLine(fmt.Sprintf("revision %d in force on %s (%s)", status.Revision, status.VM, status.Domain))
	if status.KeyValue != "" {
		t.writeLine("key-value service: " + status.KeyValue)
	}
	t.writeLine("")
	t.writeRow("VM", "DOMAIN", "STATE", "REVISION", "ENTRY", "CONTROLLER", "HEARD")
	for _, member := range status.Members {
		controller := "-"
		if member.Term != 0 {
			controller = fmt.Sprintf("term %d", member.Term)
		}
		t.writeRow(member.Name, member.Domain, member.State, member.Revision, member.EntryRevision, controller,
			member.SinceLastContact.Round(time.Millisecond))
	}
	t.writeLine("")
	t.writeRow("RUNNER", "DOMAIN", "STATE", "RUNNING", "WAITING", "ITEMS", "AGE")
	for _, runner := range status.Runners {
		t.writeRow(runner.Runner, runner.Domain, runnerState(runner), runner.Running, runner.Waiting, len(runner.Items),
			runner.Age.Round(time.Millisecond))
	}
	t.writeLine("")
	t.writeRow("MODEL", "READY ON", "NOTE")
	for _, unit := range status.Units {
		t.writeRow(unit.Name, orDash(strings.Join(unit.Runners, " ")), orDash(unit.Reason))
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

// Execute shows where the requests for a name go, and why.
func (c *explainCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := operatorContext(callTimeout)
	defer cancel()
	explanation, err := client.Explain(ctx, c.Arguments.Name)
	if err != nil {
		return unavailableError(err)
	}
	return c.show(explanation, func(t *table) { printExplanation(t, explanation) })
}

func printExplanation(t *table, e operator.Explanation) {
	if !e.Known {
		t.writeLine("no published object serves " + e.Name)
		return
	}
	if e.Service != "" {
		t.writeLine("calls go to the plain service " + e.Service)
		return
	}
	t.writeRow("unit", e.Unit)
	t.writeRow("adapter", orDash(e.Adapter))
	t.writeRow("must be loaded in", orDash(strings.Join(e.MustHold, " ")))
	t.writeRow("requests in flight", fmt.Sprintf("%.1f", e.RequestsInFlight))
	for _, runner := range e.ReadyRunners {
		t.writeRow("ready on", runner.Runner, runner.Domain, fmt.Sprintf("%d running, %d waiting", runner.Running, runner.Waiting))
	}
	for _, move := range e.PlannedMoves {
		t.writeRow("loading on", move.Runner, move.Reason)
	}
	for _, move := range e.DeferredMoves {
		t.writeRow("deferred load on", move.Runner, move.Reason, "waits for a load permit")
	}
	for _, shortage := range e.Shortages {
		t.writeRow("short", shortage.Reason)
	}
	for _, ledger := range e.Ledgers {
		for _, item := range ledger.Items {
			if item.Name == e.Unit || item.Name == e.Adapter {
				t.writeRow("ledger", ledger.Runner, item.Name, string(item.State), orDash(ledger.WaitsFor))
			}
		}
	}
}

type historyCommand struct {
	*operatorOptions `no-flag:"true"`
}

// Execute shows the latest changes of the catalog.
func (c *historyCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := operatorContext(callTimeout)
	defer cancel()
	published, err := client.Catalog(ctx)
	if err != nil {
		return unavailableError(err)
	}
	return c.show(published.History, func(t *table) {
		t.writeRow("REVISION", "AT", "AUTHOR", "PUT", "DELETED", "CHANGE", "SUMMARY")
		for _, change := range published.History {
			t.writeRow(change.Revision, change.At.Format(time.RFC3339), change.Author, change.Put, change.Deleted,
				change.ID, orDash(change.Summary))
		}
	})
}

// processArgument holds the operations address of one process.
type processArgument struct {
	Address string `positional-arg-name:"ADDRESS"`
}

func (a processArgument) parse() (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(a.Address)
	return address, withExitCode(ExitUsage, errors.Wrap(err, "address"))
}

// callProcess calls one process at its operations address.
func (o *operatorOptions) callProcess(
	argument processArgument,
	call func(ctx context.Context, client *operatorapi.Client, address netip.AddrPort) error,
) error {
	address, err := argument.parse()
	if err != nil {
		return err
	}
	ctx, cancel := operatorContext(callTimeout)
	defer cancel()
	return unavailableError(call(ctx, operatorapi.NewClient(nil), address))
}

type dumpCommand struct {
	*operatorOptions `no-flag:"true"`
	Arguments        processArgument `positional-args:"true" required:"true"`
}

// Execute prints the dump as JSON, whatever the output option says.
func (c *dumpCommand) Execute([]string) error {
	return c.callProcess(c.Arguments, func(ctx context.Context, client *operatorapi.Client, address netip.AddrPort) error {
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

// Execute asks the process to drain and returns without waiting for it.
func (c *drainCommand) Execute([]string) error {
	return c.callProcess(c.Arguments, func(ctx context.Context, client *operatorapi.Client, address netip.AddrPort) error {
		if err := client.Drain(ctx, address); err != nil {
			return err
		}
		_, err := fmt.Fprintln(c.out, "the process is draining and exits when it has finished")
		return err
	})
}
