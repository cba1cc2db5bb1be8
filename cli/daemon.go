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

// Exit codes of zinniaroute and zinniactl.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitFindings    = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitTimeout     = 6
)

// exitError is the error of a failed command with its exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause for errors.Is and errors.As.
func (e *exitError) Unwrap() error { return e.err }

func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// command describes one subcommand and its help texts.
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

// run parses the arguments, executes the selected command and returns the exit code.
func run(parser *flags.Parser, arguments []string, out, errOut io.Writer) int {
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
		_, _ = fmt.Fprintln(errOut, flagError.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(errOut, err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailure
}

// Daemon runs the program zinniaroute and returns its exit code.
func Daemon(arguments []string, out, errOut io.Writer) int {
	parser, err := newParser("zinniaroute", "Serves many models on fewer accelerators.", []command{
		{
			"entry", "Accept requests of callers and relay them to endpoints",
			"Example: zinniaroute entry --settings entry.jsonc", &entryCommand{out: out},
		},
		{
			"control", "Distribute the catalog and order runners to load and unload models",
			"Example: zinniaroute control --settings control.jsonc", &controlCommand{out: out},
		},
		{
			"gateway", "Relay requests and order runners to load and unload models, on the platform",
			"Example: zinniaroute gateway --settings gateway.jsonc", &gatewayCommand{out: out},
		},
		{
			"demo", "Run a sample deployment with its stand-ins in one process",
			"Example: zinniaroute demo --deployment association", &demoCommand{out: out, errOut: errOut},
		},
		{
			"standin", "Run a stand-in for an external system, for tests",
			"Example: zinniaroute standin --kind engine --listen 127.0.0.1:9001", &standinCommand{out: out},
		},
	})
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailure
	}
	return run(parser, arguments, out, errOut)
}

// entryGCPercent is the garbage collection target of an entry in percent. An entry uses little memory, so a larger heap
// is cheap and saves collections while the entry relays streams.
const entryGCPercent = 400

// stopSignals returns a context that ends when the process receives SIGINT or SIGTERM.
func stopSignals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

type entryCommand struct {
	Settings      string   `long:"settings" short:"s" required:"true" description:"Settings file, JSON with comments"`
	CheckSettings bool     `long:"check-settings" description:"Check the settings, print the effective values and exit"`
	Listen        string   `long:"listen" description:"Address for callers; overrides the settings file"`
	Name          string   `long:"name" description:"Name of the VM; overrides the settings file"`
	Domain        string   `long:"domain" description:"Failure domain of the VM; overrides the settings file"`
	Operations    string   `long:"operations" description:"Address for operations; overrides the settings file"`
	Controls      []string `long:"control" description:"Address of a control; overrides the settings file; may be repeated"`
	out           io.Writer
}

// Execute runs an entry until it receives a stop signal or a drain request.
func (c *entryCommand) Execute([]string) error {
	data, err := settings.ReadFile(c.Settings)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	s, findings := settings.ParseEntry(c.Settings, data, settings.Overrides{
		Name: c.Name, Domain: c.Domain, Operations: c.Operations, Listen: c.Listen, Controls: c.Controls,
	})
	if err := findings.Err(); err != nil {
		return withExitCode(ExitFindings, err)
	}
	if c.CheckSettings {
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

// daemon is a long-running process of a VM.
type daemon interface {
	// Start serves on the process's own listener and on the one for operations, in the group.
	Start(g *group.Group, own, operations net.Listener)
	StopRequested() <-chan struct{}
	// Drain stops the process gracefully and returns the number of requests that it aborted.
	Drain(ctx context.Context) int64
}

// runDaemon runs a process until it receives a stop signal or a drain request, and then drains it.
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
	aborted := process.Drain(g.Context())
	err = g.Stop()
	log.Emit(eventlog.ProcessStopped, role, aborted)
	return err
}

// waitForStop waits for a drain request, a stop signal or the end of the group, which ends when one of its goroutines
// fails.
func waitForStop(signals context.Context, g *group.Group, requested <-chan struct{}) {
	select {
	case <-requested:
	case <-signals.Done():
	case <-g.Context().Done():
	}
}

type controlCommand struct {
	Settings      string `long:"settings" short:"s" required:"true" description:"Settings file, JSON with comments"`
	CheckSettings bool   `long:"check-settings" description:"Check the settings, print the effective values and exit"`
	Listen        string `long:"listen" description:"Address for peers and entries; overrides the settings file"`
	Name          string `long:"name" description:"Name of the VM; overrides the settings file"`
	Domain        string `long:"domain" description:"Failure domain of the VM; overrides the settings file"`
	Operations    string `long:"operations" description:"Address for operations; overrides the settings file"`
	out           io.Writer
}

// Execute runs a control until it receives a stop signal or a drain request.
func (c *controlCommand) Execute([]string) error {
	data, err := settings.ReadFile(c.Settings)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	s, findings := settings.ParseControl(c.Settings, data, settings.Overrides{
		Name: c.Name, Domain: c.Domain, Operations: c.Operations, Listen: c.Listen,
	})
	if err := findings.Err(); err != nil {
		return withExitCode(ExitFindings, err)
	}
	if c.CheckSettings {
		return printJSON(c.out, s)
	}
	return runControl(s)
}

func runControl(s settings.Control) error {
	return runDaemon("control", s.Process, s.Listen, func(log *eventlog.Log) daemon {
		return control.New(time.Now(), s, log)
	})
}
