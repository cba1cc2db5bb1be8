package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/embedded"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
)

const (
	demoReadyLimit = 2 * time.Minute
	demoCallLimit  = 10 * time.Second
	demoDialLimit  = time.Second
	demoMaxAnswer  = 1 << 20
)

type demoCommand struct {
	Deployment string        `long:"deployment" default:"hinokage" choice:"hinokage" choice:"association" description:"Sample deployment"`
	BasePort   int           `long:"base-port" default:"21000" description:"First port of the embedded processes on 127.0.0.1"`
	VMs        int           `long:"vms" default:"2" description:"Entry VMs in each failure domain"`
	LoadTime   time.Duration `long:"load-time" default:"100ms" description:"Time that an engine needs to load a model"`
	LogLevel   string        `long:"log-level" default:"warning" description:"Lowest level of events to log"`
	Once       bool          `long:"once" description:"Send one request, print the streamed answer and exit"`
	out        io.Writer
	failures   io.Writer
}

// Execute runs the demo until it receives a stop signal.
func (c *demoCommand) Execute([]string) error {
	signals, stop := stopSignals()
	defer stop()
	g, err := group.New(context.Background())
	if err != nil {
		return err
	}
	system, err := embedded.Start(g, embedded.Options{
		Deployment:   c.Deployment,
		BasePort:     c.BasePort,
		VMsPerDomain: c.VMs,
		LoadTime:     c.LoadTime,
		LogLevel:     c.LogLevel,
		Log:          c.failures,
	})
	if err != nil {
		_ = g.Stop()
		return err
	}
	err = c.serve(signals, g, system)
	if stopped := g.Stop(); err == nil {
		err = stopped
	}
	return err
}

func (c *demoCommand) serve(signals context.Context, g *group.Group, system *embedded.System) error {
	ctx, cancel := context.WithTimeout(signals, demoReadyLimit)
	defer cancel()
	began := time.Now()
	result, err := system.Publish(ctx)
	if err != nil {
		return err
	}
	if err := result.Findings.Err(); err != nil {
		return exitWith(ExitFindings, err)
	}
	c.printf("published revision %d (%s); waiting for models to load\n", result.Revision, result.Difference)
	last := -1
	err = system.WaitReady(ctx, func(ready, all int) {
		if ready != last {
			last = ready
			c.printf("\r%d of %d models and adapters ready", ready, all)
		}
	})
	c.printf("\n")
	if err != nil {
		return err
	}
	c.printf("ready after %s\n\n", time.Since(began).Round(time.Millisecond))
	c.describe(system)
	if c.Once {
		return c.ask(ctx, system)
	}
	c.printf("\nPress Ctrl-C to stop the demo.\n")
	waitForStop(signals, g, nil)
	return nil
}

func (c *demoCommand) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.out, format, arguments...)
}

func (c *demoCommand) describe(system *embedded.System) {
	t := newTable(c.out)
	t.row("VM", "CALLERS", "ENTRY OPERATIONS", "CONTROL OPERATIONS")
	for _, vm := range system.VMs {
		t.row(vm.Name, vm.Callers, vm.EntryOps, vm.ControlOps)
	}
	_ = t.flush()
	first := system.VMs[0]
	c.printf("\nSend a request to a model:\n  curl -N http://%s%s -d '%s'\n", first.Callers, openai.ChatPath, c.question())
	c.printf("Show the state of the system:\n  go run ./cmd/zinniactl --control %s status\n", first.ControlOps)
}

func (c *demoCommand) question() string {
	model := "bench"
	if c.Deployment == "association" {
		model = "counter"
	}
	return fmt.Sprintf(`{"model":"%s","stream":true,"messages":[{"role":"user","content":"Which figure comes first?"}]}`, model)
}

// ask sends a sample request to the first entry and prints the answer.
func (c *demoCommand) ask(ctx context.Context, system *embedded.System) error {
	address := system.VMs[0].Callers
	client := httpcall.NewClient(demoDialLimit)
	defer client.Close()
	request := httpcall.NewRequest("POST", address, openai.ChatPath, []byte(c.question()))
	result, err := client.Fetch(ctx, address, request, demoCallLimit, demoMaxAnswer)
	if err != nil {
		return err
	}
	c.printf("\n%s", result.Body)
	if result.Status != 200 {
		return errors.Errorf("the entry answered with status %d", result.Status)
	}
	return nil
}
