package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

// confirmTimeout is the time limit for the report that shows which incarnation of a runner answers.
const confirmTimeout = 200 * time.Millisecond

var (
	errOtherIncarnation = errors.New("the runner has started again since its entry was read")
	errUnknownSoftware  = errors.New("the runner's entry names no version of its software")
)

// binding keeps a stream to the version of the software that began it: what two versions write does not fit together.
type binding struct {
	// done is closed when software is known.
	done chan struct{}
	// software is the version, or "" if it could not be confirmed. The stream cannot go on elsewhere then.
	software string
	// complete reports that the caller has the whole stream.
	complete atomic.Bool
}

// bind binds a stream to the software of the runner that begins it. The runner's report confirms in the background that it
// has not started again with another version since its entry was read.
func (x *exchange) bind() {
	b := &binding{done: make(chan struct{})}
	x.binding = b
	runner := x.choice.Runner
	x.gateway.tasks.Run("confirm software", func(ctx context.Context) {
		defer close(b.done)
		if err := x.gateway.confirmIncarnation(ctx, runner); err != nil {
			streamRecords.Add("unconfirmed", 1)
			x.gateway.log.Emit(eventlog.OriginUnconfirmed, x.request.ID, runner.ID, runner.Software, err)
			return
		}
		b.software = runner.Software
		x.recordOrigin(clock.Now(), b.software)
	})
}

// boundSoftware returns the version that a stream must go on at, or "" if it is not known. It waits until the binding is
// confirmed.
func (x *exchange) boundSoftware(ctx context.Context) string {
	select {
	case <-x.binding.done:
		return x.binding.software
	case <-ctx.Done():
		return ""
	}
}

// confirmIncarnation returns an error unless the runner's report shows that it is the incarnation of its entry.
func (g *Gateway) confirmIncarnation(ctx context.Context, runner *fleet.Runner) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if runner.Software == "" {
		return errUnknownSoftware
	}
	report, err := g.runnerClient.Report(ctx, runner.ID, runner.Address)
	if err != nil {
		return err
	}
	if report.Incarnation == 0 || report.Incarnation != runner.Incarnation {
		return errOtherIncarnation
	}
	return nil
}

// endpoints returns those of a service's endpoints at which the request may run: all, or those with the software that began
// the stream if it goes on.
func (x *exchange) endpoints(all []*fleet.Runner, software string) []*fleet.Runner {
	if x.binding == nil {
		return all
	}
	return slices.DeleteFunc(all, func(r *fleet.Runner) bool { return software == "" || r.Software != software })
}
