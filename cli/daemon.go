package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/transport/control"
	"github.com/zinniaroute/zinniaroute/transport/entry"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

// The exit codes of both programs.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitFindings    = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitTimeout     = 6
)

// exitError carries the exit code of a failed command.
type exitError struct {
	code int
	err  error
}

// Error returns the cause's text.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func exitWith(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// command is one subcommand with its help.
type command struct {
	name  string
	short string
	long  string
	data  any
}

func newParser(name, description string, commands []command) (*flags.Parser, error) {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return nil, errors.Wrapf(err, "command %s", c.name)
		}
	}
	return parser, nil
}

// run parses the arguments, runs the command and returns the exit code.
func run(parser *flags.Parser, arguments []string, out, failures io.Writer) int {
	httpserve.DisableLibraryLog()
	_, err := parser.ParseArgs(arguments)
	if err == nil {
		return ExitOK
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(out, flagError.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(failures, flagError.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(failures, err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailure
}

// Daemon runs the program zinniaroute and returns its exit code.
func Daemon(arguments []string, out, failures io.Writer) int {
	parser, err := newParser("zinniaroute", "Serves many models on fewer accelerators.", []command{
		{
			"entry", "Answer callers and talk to endpoints",
			"Example: zinniaroute entry --settings entry.jsonc", &entryCommand{out: out},
		},
		{
			"control", "Spread the catalog and order what runners hold",
			"Example: zinniaroute control --settings control.jsonc", &controlCommand{out: out},
		},
		{
			"gateway", "Serve on the users' platform: answer callers and order runners",
			"Example: zinniaroute gateway --settings gateway.jsonc", &gatewayCommand{out: out},
		},
		{
			"demo", "Run a sample deployment with stand-ins in this one process",
			"Example: zinniaroute demo --deployment association", &demoCommand{out: out, failures: failures},
		},
		{
			"standin", "Run a small stand-in of an outside system, for tests",
			"Example: zinniaroute standin --kind engine --listen 127.0.0.1:9001", &standinCommand{out: out},
		},
	})
	if err != nil {
		_, _ = fmt.Fprintln(failures, err)
		return ExitFailure
	}
	return run(parser, arguments, out, failures)
}

// entryGCPercent trades memory of the entry, which holds little, for fewer collections while it relays streams.
const entryGCPercent = 400

// stopSignals returns a context that ends when the process is asked to stop.
func stopSignals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

type entryCommand struct {
	Settings string   `long:"settings" short:"s" required:"true" description:"Settings file, JSON with comments"`
	Check    bool     `long:"check-settings" description:"Check the settings, print the effective values and exit"`
	Listen   string   `long:"listen" description:"Address for callers, in place of the file's"`
	Name     string   `long:"name" description:"Name of the VM, in place of the file's"`
	Domain   string   `long:"domain" description:"Failure domain of the VM, in place of the file's"`
	Ops      string   `long:"operations" description:"Address for operations, in place of the file's"`
	Controls []string `long:"control" description:"Address of a control, in place of the file's; may be repeated"`
	out      io.Writer
}

// Execute runs the entry until it is asked to stop.
func (c *entryCommand) Execute([]string) error {
	data, err := settings.ReadFile(c.Settings)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	s, findings := settings.ParseEntry(c.Settings, data, settings.Overrides{
		Name: c.Name, Domain: c.Domain, Operations: c.Ops, Listen: c.Listen, Controls: c.Controls,
	})
	if err := findings.Err(); err != nil {
		return exitWith(ExitFindings, err)
	}
	if c.Check {
		return printJSON(c.out, s)
	}
	return runEntry(s)
}

func runEntry(s settings.Entry) error {
	debug.SetGCPercent(entryGCPercent)
	return runDaemon("entry", s.Process, s.Listen, func(log *eventlog.Log) daemon {
		return entry.New(time.Now(), s, log)
	})
}

// daemon is a process of a VM.
type daemon interface {
	// Start runs the process's duties on its own listener and on that for operations.
	Start(g *group.Group, own, operations net.Listener)
	StopRequested() <-chan struct{}
	// Drain stops the process as planned and returns the number of requests that it had to cut off.
	Drain(ctx context.Context) int64
}

// runDaemon runs a process until it is asked to stop.
func runDaemon(role string, p settings.Process, listen netip.AddrPort, build func(log *eventlog.Log) daemon) error {
	signals, stop := stopSignals()
	defer stop()
	listeners, err := httpserve.ListenAll([]netip.AddrPort{listen, p.Operations})
	if err != nil {
		return err
	}
	g, err := group.New(context.Background())
	if err != nil {
		return err
	}
	log := eventlog.New(os.Stderr, p.Level(), role+"/"+p.Name, p.Domain)
	process := build(log)
	process.Start(g, listeners[0], listeners[1])
	waitForStop(signals, g, process.StopRequested())
	cut := process.Drain(g.Context())
	err = g.Stop()
	log.Emit(eventlog.ProcessStopped, role, cut)
	return err
}

// waitForStop waits until the process is asked to stop or a duty has failed.
func waitForStop(signals context.Context, g *group.Group, requested <-chan struct{}) {
	select {
	case <-requested:
	case <-signals.Done():
	case <-g.Context().Done():
	}
}

type controlCommand struct {
	Settings string `long:"settings" short:"s" required:"true" description:"Settings file, JSON with comments"`
	Check    bool   `long:"check-settings" description:"Check the settings, print the effective values and exit"`
	Listen   string `long:"listen" description:"Address for peers and entries, in place of the file's"`
	Name     string `long:"name" description:"Name of the VM, in place of the file's"`
	Domain   string `long:"domain" description:"Failure domain of the VM, in place of the file's"`
	Ops      string `long:"operations" description:"Address for operations, in place of the file's"`
	out      io.Writer
}

// Execute runs the control until it is asked to stop.
func (c *controlCommand) Execute([]string) error {
	data, err := settings.ReadFile(c.Settings)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	s, findings := settings.ParseControl(c.Settings, data, settings.Overrides{
		Name: c.Name, Domain: c.Domain, Operations: c.Ops, Listen: c.Listen,
	})
	if err := findings.Err(); err != nil {
		return exitWith(ExitFindings, err)
	}
	if c.Check {
		return printJSON(c.out, s)
	}
	return runControl(s)
}

func runControl(s settings.Control) error {
	return runDaemon("control", s.Process, s.Listen, func(log *eventlog.Log) daemon {
		return control.New(time.Now(), s, log)
	})
}
