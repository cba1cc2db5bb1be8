package limits

import "time"

const (
	// Window is the time over which the platform counts the requests to a runner that names a limit.
	Window = 4 * time.Second
	// minPerSecond is the rate of permits for a runner with a lower limit, also of zero. A runner that gets no requests could
	// not say that its need is over.
	minPerSecond = 0.25
	// reducedShare is the part of the rate that a VM grants while another one may grant too. The platform tolerates one and
	// a half times the limit.
	reducedShare = 0.5
	// MaxWait is the longest time for which a permit is granted ahead. Such permits remain in use when another VM grants.
	MaxWait = 500 * time.Millisecond
	// maxRunners is the number of runners above which those without a recent permit are dropped.
	maxRunners = 1024
)

// Grant is the answer to a request for a permit.
type Grant struct {
	Granted bool
	// Wait is the time until the permit may be used, or until the next one if none is granted.
	Wait time.Duration
	// Next is the time until the next permit after this grant.
	Next time.Duration
}

// Permits grants the permits for requests to runners that have named a limit. One VM does so for all.
type Permits struct {
	// latest holds the time of the latest permit, which may be yet to come, by runner.
	latest map[string]time.Time
}

// NewPermits returns permits of which none is granted.
func NewPermits() *Permits { return &Permits{latest: make(map[string]time.Time)} }

// Take grants a permit for a runner if one comes up within a time. Permits of a runner are a whole interval apart, so
// that there are no bursts that add up. Reduced means that another VM may grant permits too, or did so within Window.
func (p *Permits) Take(now time.Time, runner string, perSecond float64, reduced bool, within time.Duration) Grant {
	interval := interval(perSecond, reduced)
	wait := p.wait(now, runner, interval)
	if wait > min(within, MaxWait) {
		return Grant{Wait: wait, Next: wait}
	}
	if len(p.latest) >= maxRunners {
		p.dropOld(now)
	}
	p.latest[runner] = now.Add(wait)
	return Grant{Granted: true, Wait: wait, Next: wait + interval}
}

// Next returns the time until the next permit for a runner.
func (p *Permits) Next(now time.Time, runner string, perSecond float64, reduced bool) time.Duration {
	return p.wait(now, runner, interval(perSecond, reduced))
}

func (p *Permits) wait(now time.Time, runner string, interval time.Duration) time.Duration {
	latest, ok := p.latest[runner]
	if !ok {
		return 0
	}
	return max(0, latest.Add(interval).Sub(now))
}

// interval returns the time between two permits.
func interval(perSecond float64, reduced bool) time.Duration {
	rate := max(perSecond, minPerSecond)
	if reduced {
		rate *= reducedShare
	}
	return time.Duration(float64(time.Second) / rate)
}

func (p *Permits) dropOld(now time.Time) {
	for runner, latest := range p.latest {
		if now.Sub(latest) >= interval(0, true) {
			delete(p.latest, runner)
		}
	}
}
