package modelrunner

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
)

const headerLoad = "X-Zinniaroute-Instance-Load"

// Slots makes a runner report its load and turn requests away when it has no room. The zero value makes it take all requests.
type Slots struct {
	// Count is the number of requests that run at once, and Queue the number that wait for a slot.
	Count, Queue int
}

// slotUse counts the requests of a runner with slots.
type slotUse struct {
	running, waiting, turnedAway int
	// freed has room for one wake-up for each waiting request.
	freed chan struct{}
}

// Full returns the number of requests that the runner has turned away for want of room.
func (r *Runner) Full() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slots.turnedAway
}

// takeSlot waits for a slot. It returns false if it has turned the request away, or if the caller has left. The caller must
// call release after the request.
func (r *Runner) takeSlot(ctx context.Context, c *app.RequestContext) (release func(), ok bool) {
	limit := r.options.Slots
	if limit.Count == 0 {
		return func() {}, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	defer func() {
		c.Header(headerLoad, fmt.Sprintf("%d,%d,%d,100", r.slots.running, r.slots.waiting, limit.Count))
	}()
	if r.slots.running >= limit.Count && r.slots.waiting >= limit.Queue {
		r.slots.turnedAway++
		c.Header(headerNotRun, "1")
		c.Header(headerAttempt, string(c.GetHeader(headerAttempt)))
		c.SetStatusCode(http.StatusServiceUnavailable)
		return nil, false
	}
	r.slots.waiting++
	for r.slots.running >= limit.Count {
		r.mu.Unlock()
		select {
		case <-r.slots.freed:
		case <-ctx.Done():
		}
		r.mu.Lock()
		if ctx.Err() != nil {
			r.slots.waiting--
			return nil, false
		}
	}
	r.slots.waiting--
	r.slots.running++
	return r.releaseSlot, true
}

func (r *Runner) releaseSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots.running--
	select {
	case r.slots.freed <- struct{}{}:
	default:
	}
}
