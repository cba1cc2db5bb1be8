package modelrunner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// crashDowntime is the time for which a runner is down after a crash.
const crashDowntime = 2 * time.Second

// Crash describes how a request crashes the runner that runs it.
type Crash struct {
	// Body is the body, and Path the path without the query, of the requests that crash the runner. Empty fields match no
	// request.
	Body string
	Path string
	// Part is a part of a prompt, in any place but the last.
	Part string
	// After is the time from the start of the run to the crash.
	After time.Duration
	// Silent means that the runner closes no connection when it crashes.
	Silent bool
	// NewID means that the runner returns under another ID.
	NewID bool
}

func (c Crash) matches(request *app.RequestContext) bool {
	return c.Body != "" && string(request.Request.Body()) == c.Body || c.Path != "" && string(request.Path()) == c.Path ||
		c.Part != "" && HasSharedPart(string(request.GetHeader(headerPrompt)), c.Part)
}

// HasSharedPart reports whether a prompt has a part in any place but the last.
func HasSharedPart(prompt, part string) bool {
	parts := strings.Split(prompt, ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool { return strings.HasPrefix(p, part+":") })
}

// SetCrash sets which requests crash the runner from now on, and how.
func (r *Runner) SetCrash(crash Crash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash = crash
}

// CrashNow crashes the runner without a request that causes it.
func (r *Runner) CrashNow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashNow(time.Now())
}

// Crashes returns the times at which the runner crashed, in order.
func (r *Runner) Crashes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.crashes)
}

// ID returns the identifier of the present incarnation.
func (r *Runner) ID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id()
}

func (r *Runner) id() string {
	if !r.crash.NewID || len(r.crashes) == 0 {
		return r.options.ID
	}
	return fmt.Sprintf("%s-%d", r.options.ID, len(r.crashes)+1)
}

// Down reports whether the runner has crashed and has not started again.
func (r *Runner) Down() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.downUntil)
}

// crashNow ends the present incarnation. The caller must hold the lock.
func (r *Runner) crashNow(now time.Time) {
	r.crashes = append(r.crashes, now)
	r.downUntil = now.Add(crashDowntime)
	r.startedAtMS = r.downUntil.UnixMilli()
	close(r.crashed)
	r.crashed = make(chan struct{})
}

// endsRun reports whether the runner is down, or runs a request that crashes it. It returns when the connection has
// ended.
func (r *Runner) endsRun(c *app.RequestContext) bool {
	r.mu.Lock()
	crash, crashed, down := r.crash, r.crashed, time.Now().Before(r.downUntil)
	crashes := !down && crash.matches(c)
	if crashes {
		r.recordRun(newRun(c))
	}
	r.mu.Unlock()
	switch {
	case down:
		r.disconnect(c)
		return true
	case !crashes:
		return false
	}
	select {
	case <-time.After(crash.After):
		r.mu.Lock()
		if r.crashed == crashed {
			r.crashNow(time.Now())
		}
		r.mu.Unlock()
	case <-crashed:
	}
	r.disconnect(c)
	return true
}

// silence is how long a silent runner keeps a connection open. It exceeds the deadlines of the tests' requests.
const silence = 20 * time.Second

// disconnect ends a connection as the crash does.
func (r *Runner) disconnect(c *app.RequestContext) {
	r.mu.Lock()
	silent := r.crash.Silent
	r.mu.Unlock()
	if silent {
		time.Sleep(silence)
	}
	_ = c.GetConn().Close()
}
