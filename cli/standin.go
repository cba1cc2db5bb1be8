package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/standin/bookings"
	"github.com/zinniaroute/zinniaroute/standin/engine"
	"github.com/zinniaroute/zinniaroute/standin/kvstore"
	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/standin/proxy"
	"github.com/zinniaroute/zinniaroute/standin/vmlist"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

const crashExitCode = 3

type standinCommand struct {
	Kind          string        `long:"kind" required:"true" choice:"kv" choice:"vms" choice:"engine" choice:"service" choice:"proxy" choice:"runner" description:"Kind of system to stand in for"`
	Listen        string        `long:"listen" required:"true" description:"Address to listen on"`
	Accelerators  int           `long:"accelerators" default:"1" description:"Number of accelerators of an engine"`
	MemoryMiB     int           `long:"memory-mib" default:"80000" description:"Memory of each accelerator in MiB"`
	Unfenced      bool          `long:"unfenced" description:"Let the engine ignore fencing numbers"`
	LoadTime      time.Duration `long:"load-time" default:"50ms" description:"Time that an engine needs to load a model"`
	FirstToken    time.Duration `long:"first-token" default:"5ms" description:"Time to the first token"`
	BetweenTokens time.Duration `long:"between-tokens" default:"5ms" description:"Time between consecutive tokens"`
	Slots         int           `long:"slots" default:"64" description:"Number of requests that an engine runs concurrently"`
	CrashText     string        `long:"crash-text" description:"Text in a prompt that crashes the engine's process"`
	WorkTime      time.Duration `long:"work-time" default:"1ms" description:"Time that a service needs to answer a call"`
	Target        string        `long:"target" description:"Address to which a proxy forwards connections"`
	Admin         string        `long:"admin" description:"Address on which a proxy accepts fault settings"`
	Name          string        `long:"name" description:"Identifier of a runner"`
	Service       string        `long:"service" description:"Service of a runner"`
	Models        []string      `long:"model" description:"Model that a runner holds; may be given several times"`
	out           io.Writer
}

// Execute runs a stand-in until it receives a stop signal.
func (c *standinCommand) Execute([]string) error {
	signals, stop := stopSignals()
	defer stop()
	listener, err := httpserve.Listen(c.Listen)
	if err != nil {
		return err
	}
	g, err := group.New(context.Background())
	if err != nil {
		return err
	}
	if err := c.start(g, listener); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.out, "stand-in %s is listening on %s\n", c.Kind, listener.Addr())
	waitForStop(signals, g, nil)
	return g.Stop()
}

func (c *standinCommand) start(g *group.Group, listener net.Listener) error {
	switch c.Kind {
	case "kv":
		kvstore.NewServer().Start(g, listener)
	case "vms":
		vmlist.NewServer().Start(g, listener)
	case "service":
		bookings.NewServer(c.WorkTime).Start(g, listener)
	case "proxy":
		return c.startProxy(g, listener)
	case "runner":
		return c.startRunner(g, listener)
	case "engine":
		engine.NewServer(c.engineOptions()).Start(g, listener)
	default:
		return errors.Errorf("unknown kind %q", c.Kind)
	}
	return nil
}

// startRunner starts a runner that prints the attempt and the path of each request that it runs.
func (c *standinCommand) startRunner(g *group.Group, listener net.Listener) error {
	address, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return withExitCode(ExitUsage, errors.Wrap(err, "--listen"))
	}
	options := modelrunner.DefaultOptions(c.Name, c.Service)
	options.Address = address
	options.Started = func(run modelrunner.Run) { _, _ = fmt.Fprintln(c.out, run.Line()) }
	for _, name := range c.Models {
		options.Models = append(options.Models, modelrunner.Model{Name: name, Version: 1, Adapters: []string{}})
	}
	modelrunner.New(options).Start(g, listener)
	return nil
}

func (c *standinCommand) startProxy(g *group.Group, listener net.Listener) error {
	target, err := netip.ParseAddrPort(c.Target)
	if err != nil {
		return withExitCode(ExitUsage, errors.Wrap(err, "--target"))
	}
	admin, err := httpserve.Listen(c.Admin)
	if err != nil {
		return err
	}
	proxy.New(target).Start(g, listener, admin)
	return nil
}

func (c *standinCommand) engineOptions() engine.Options {
	options := engine.DefaultOptions()
	options.Accelerators = c.Accelerators
	options.MemoryMiB = c.MemoryMiB
	options.Fenced = !c.Unfenced
	options.LoadTime = c.LoadTime
	options.FirstToken = c.FirstToken
	options.BetweenTokens = c.BetweenTokens
	options.Slots = c.Slots
	options.CrashText = c.CrashText
	options.Crash = func() { os.Exit(crashExitCode) }
	return options
}
