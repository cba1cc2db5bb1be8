package cli

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/gateway"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

// memoryLimitFraction is the fraction of the VM's memory that is the soft memory limit of the Go runtime. Near the
// limit, the runtime collects garbage more often.
const memoryLimitFraction = 0.6

type gatewayCommand struct {
	Settings      string `long:"settings" short:"s" description:"Settings file; default: the file that the platform provides"`
	CheckSettings bool   `long:"check-settings" description:"Check the settings, print the effective values and exit"`

	// The platform fills in nothing for bounds that a deployment does not have.
	AllowanceWindow  string `long:"allowance-window" description:"bounds.allowanceWindow in seconds; empty: as in the file"`
	AllowanceOverage string `long:"allowance-overage" description:"bounds.allowanceOverage; empty: as in the file"`
	AllowanceSlack   string `long:"allowance-slack" description:"bounds.allowanceSlack; empty: as in the file"`

	out io.Writer
}

// Execute runs a gateway until it receives a stop signal or a drain request.
func (c *gatewayCommand) Execute([]string) error {
	path := c.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	if path == "" {
		return withExitCode(ExitUsage, errors.New("no settings file: use --settings, or run on the platform, which provides one"))
	}
	overrides := settings.AllowanceOverrides{
		Window: c.AllowanceWindow, Overage: c.AllowanceOverage, Slack: c.AllowanceSlack,
	}
	s, err := readGatewaySettings(path, overrides)
	if err != nil {
		return withExitCode(ExitFindings, err)
	}
	if c.CheckSettings {
		return printJSON(c.out, s)
	}
	return runGateway(path, overrides, s)
}

func readGatewaySettings(path string, overrides settings.AllowanceOverrides) (settings.Gateway, error) {
	data, err := settings.ReadFile(path)
	if err != nil {
		return settings.Gateway{}, err
	}
	s, findings := settings.ParseGateway(path, data)
	findings = append(findings, overrides.Apply(&s.Bounds)...)
	return s, findings.Err()
}

// logBudget limits the log lines per second. A VM serves about ten requests a second and logs up to four lines for
// each.
var logBudget = eventlog.Budget{RoutinePerSecond: 100, OthersPerSecond: 200}

// settingsPollInterval is the interval at which the settings file is checked for changes. The file may change without a
// signal.
const settingsPollInterval = 2 * time.Second

// followSettings reloads the settings on SIGHUP and when the file changes. After an error the current settings stay.
func followSettings(
	ctx context.Context,
	path string,
	overrides settings.AllowanceOverrides,
	current settings.Gateway,
	process *gateway.Gateway,
	log *eventlog.Log,
) error {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-hangUps:
			signalled = true
		case <-ticker.C:
		}
		next, err := readGatewaySettings(path, overrides)
		changed := err == nil && !reflect.DeepEqual(next, current)
		if signalled || changed || err != nil {
			log.Emit(eventlog.SettingsReloaded, changed, err)
		}
		if changed {
			current = next
			process.SetBounds(next.Bounds)
		}
	}
}

func runGateway(path string, overrides settings.AllowanceOverrides, s settings.Gateway) error {
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitFraction * (1 << 20)))
	signals, stop := stopSignals()
	defer stop()
	listeners, err := httpserve.ListenAll([]netip.AddrPort{
		s.Callers, s.Readiness, s.PeerAddress(), s.OperationsAddress(), s.ForwardAddress(),
	})
	if err != nil {
		return err
	}
	g, err := group.New(context.Background())
	if err != nil {
		return err
	}
	log := eventlog.NewBounded(os.Stdout, logrus.InfoLevel, "gateway/"+s.Name, s.Domain, logBudget)
	g.Start("write log", log.Run)
	process := gateway.New(clock.Now(), s, log)
	process.Start(g, listeners[0], listeners[1], listeners[2], listeners[3], listeners[4])
	g.Start("reload settings", func(ctx context.Context) error { return followSettings(ctx, path, overrides, s, process, log) })
	waitForStop(signals, g, process.StopRequested())
	aborted := process.Drain(g.Context())
	log.Emit(eventlog.ProcessStopped, "gateway", aborted)
	closeAll(listeners)
	log.Flush()
	return nil
}

// closeAll closes the listeners. It ignores errors, because the process is about to exit.
func closeAll(listeners []net.Listener) {
	for _, listener := range listeners {
		_ = listener.Close()
	}
}
