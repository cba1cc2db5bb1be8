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
	demoReadyTimeout   = 2 * time.Minute
	demoCallTimeout    = 10 * time.Second
	demoDialTimeout    = time.Second
	demoMaxAnswerBytes = 1 << 20
)

type demoCommand struct {
	Deployment string        `long:"deployment" default:"hinokage" choice:"hinokage" choice:"association" description:"Sample deployment"`
	BasePort   int           `long:"base-port" default:"21000" description:"First port of the embedded processes on 127.0.0.1"`
	VMs        int           `long:"vms" default:"2" description:"Entry VMs in each failure domain"`
	LoadTime   time.Duration `long:"load-time" default:"100ms" description:"Time that an engine needs to load a model"`
	LogLevel   string        `long:"log-level" default:"warning" description:"Lowest level of events to log"`
	Once       bool          `long:"once" description:"Send one request, print the streamed answer and exit"`
	out        io.Writer
	errOut     io.Writer
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
		Log:          c.errOut,
	})
	if err != nil {
		_ = g.Stop()
		return err
	}
	err = c.serve(signals, g, system)
	if stopErr := g.Stop(); err == nil {
		err = stopErr
	}
	return err
}

func (c *demoCommand) serve(signals context.Context, g *group.Group, system *embedded.System) error {
	ctx, cancel := context.WithTimeout(signals, demoReadyTimeout)
	defer cancel()
	startedAt := time.Now()
	result, err := system.Publish(ctx)
	if err != nil {
		return err
	}
	if err := result.Findings.Err(); err != nil {
		return withExitCode(ExitFindings, err)
	}
	c.printf("published revision %d (%s); waiting for models to load\n", result.Revision, result.Difference)
	lastReady := -1
	err = system.WaitReady(ctx, func(ready, total int) {
		if ready != lastReady {
			lastReady = ready
			c.printf("\r%d of %d models and adapters ready", ready, total)
		}
	})
	c.printf("\n")
	if err != nil {
		return err
	}
	c.printf("ready after %s\n\n", time.Since(startedAt).Round(time.Millisecond))
	c.printAddresses(system)
	if c.Once {
		return c.sendSampleRequest(ctx, system)
	}
	c.printf("\nPress Ctrl-C to stop the demo.\n")
	waitForStop(signals, g, nil)
	return nil
}

func (c *demoCommand) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.out, format, arguments...)
}

func (c *demoCommand) printAddresses(system *embedded.System) {
	t := newTable(c.out)
	t.writeRow("VM", "CALLERS", "ENTRY OPERATIONS", "CONTROL OPERATIONS")
	for _, vm := range system.VMs {
		t.writeRow(vm.Name, vm.CallerAddress, vm.EntryOperationsAddress, vm.ControlOperationsAddress)
	}
	_ = t.flush()
	first := system.VMs[0]
	c.printf("\nSend a request to a model:\n  curl -N http://%s%s -d '%s'\n", first.CallerAddress, openai.ChatPath, c.sampleRequest())
	c.printf("Show the state of the system:\n  go run ./cmd/zinniactl --control %s status\n", first.ControlOperationsAddress)
}

func (c *demoCommand) sampleRequest() string {
	model := "bench"
	if c.Deployment == "association" {
		model = "counter"
	}
	return fmt.Sprintf(`{"model":"%s","stream":true,"messages":[{"role":"user","content":"Which figure comes first?"}]}`, model)
}

// sendSampleRequest sends a sample request to the first entry and prints the answer.
func (c *demoCommand) sendSampleRequest(ctx context.Context, system *embedded.System) error {
	address := system.VMs[0].CallerAddress
	client := httpcall.NewClient(demoDialTimeout)
	defer client.Close()
	request := httpcall.NewRequest("POST", address, openai.ChatPath, []byte(c.sampleRequest()))
	result, err := client.Fetch(ctx, address, request, demoCallTimeout, demoMaxAnswerBytes)
	if err != nil {
		return err
	}
	c.printf("\n%s", result.Body)
	if result.Status != 200 {
		return errors.Errorf("the entry answered with status %d", result.Status)
	}
	return nil
}
