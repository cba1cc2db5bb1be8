package modelrunner

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

const headerBrittle = "Server-Brittle"

// Brittle describes a runner that falls over if it has to turn too many requests away for want of room.
type Brittle struct {
	// PerSecond is the number of requests that the runner may turn away within a second and stay up. Zero means that the
	// runner is not brittle.
	PerSecond int
	// Places is the number of requests that it runs or lets wait at a time.
	Places int
}

// SetBrittle makes the runner brittle from now on, or sound.
func (r *Runner) SetBrittle(b Brittle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brittle = b
}

// TurnedAway returns the number of requests that the brittle runner had no room for.
func (r *Runner) TurnedAway() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.turnedAway)
}

// Falls returns the number of times that the brittle runner fell over.
func (r *Runner) Falls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.falls
}

// enter takes a place of a brittle runner for a request. It returns false if it has turned the request away, which may make
// the runner crash. The caller must call leave after the request.
func (r *Runner) enter(c *app.RequestContext) (leave func(), ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.brittle.PerSecond > 0 {
		c.Header(headerBrittle, strconv.Itoa(r.brittle.PerSecond))
	}
	if r.brittle.PerSecond == 0 || r.inside < r.brittle.Places {
		r.inside++
		return func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.inside--
		}, true
	}
	now := time.Now()
	r.turnedAway = append(r.turnedAway, now)
	recent := 0
	for _, at := range r.turnedAway {
		if now.Sub(at) < time.Second {
			recent++
		}
	}
	if recent > r.brittle.PerSecond && !now.Before(r.downUntil) {
		r.falls++
		r.crashNow(now)
	}
	c.Header(headerNotRun, "1")
	c.Header(headerAttempt, string(c.GetHeader(headerAttempt)))
	c.SetStatusCode(http.StatusServiceUnavailable)
	return nil, false
}
