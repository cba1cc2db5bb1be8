package dispatch

import (
	"maps"
	"time"

	"github.com/zinniaroute/zinniaroute/state/decay"
)

// Snapshot is the state of a scheduler, from which its choices can be repeated. It leaves out which prompt prefixes
// each runner has cached, so a restored scheduler expects a prefix only on its home runner.
type Snapshot struct {
	Domain string    `json:"domain"`
	At     time.Time `json:"at"`
	// Loads holds the state of each endpoint, by endpoint.
	Loads map[string]LoadSnapshot `json:"loads"`
	// Silences holds the failure domains with unreachable runners, by domain.
	Silences map[string]SilenceSnapshot `json:"silences,omitempty"`
	// Paces holds the logarithms of the slowdown factors, by model.
	Paces map[string]float64 `json:"paces,omitempty"`
}

// LoadSnapshot is the state of an endpoint. Averages are as of the time of the snapshot.
type LoadSnapshot struct {
	Running        int              `json:"running"`
	Pending        [ranks]int       `json:"pending"`
	Others         Share            `json:"others"`
	ReadTokens     float64          `json:"readTokens"`
	Failures       float64          `json:"failures"`
	Slowness       float64          `json:"slowness"`
	FullUntil      time.Time        `json:"fullUntil,omitzero"`
	SilentUntil    time.Time        `json:"silentUntil,omitzero"`
	Misses         int              `json:"misses,omitempty"`
	Began          time.Time        `json:"began,omitzero"`
	UnorderedUntil time.Time        `json:"unorderedUntil,omitzero"`
	Waiting        []TicketSnapshot `json:"waiting,omitempty"`
}

// TicketSnapshot is a request in flight whose answer has not begun.
type TicketSnapshot struct {
	Sent time.Time     `json:"sent"`
	Wait time.Duration `json:"waitNs"`
}

// SilenceSnapshot is a failure domain with an unreachable runner.
type SilenceSnapshot struct {
	Runner string    `json:"runner"`
	At     time.Time `json:"at"`
	Until  time.Time `json:"until,omitzero"`
}

// Snapshot returns the state of the scheduler as of now.
func (d *Desk) Snapshot(now time.Time) Snapshot {
	s := Snapshot{
		Domain: d.domain, At: now, Loads: make(map[string]LoadSnapshot, len(d.loads)),
		Silences: make(map[string]SilenceSnapshot, len(d.silences)), Paces: maps.Clone(d.paces),
	}
	for id, l := range d.loads {
		s.Loads[id] = l.snapshot(now)
	}
	for domain, silence := range d.silences {
		s.Silences[domain] = SilenceSnapshot{Runner: silence.runner, At: silence.at, Until: silence.until}
	}
	return s
}

func (l *load) snapshot(now time.Time) LoadSnapshot {
	s := LoadSnapshot{
		Running: l.running, Pending: l.pending, Others: l.others,
		ReadTokens: decay.After(l.read, now.Sub(l.readAt), readHalfLife),
		Failures:   l.failureShare(now),
		Slowness:   decay.After(l.slowness, now.Sub(l.timed), slownessHalfLife),
		FullUntil:  l.fullUntil, SilentUntil: l.silentUntil, Misses: l.misses, Began: l.began, UnorderedUntil: l.unorderedUntil,
	}
	for _, t := range l.waiting {
		s.Waiting = append(s.Waiting, TicketSnapshot{Sent: t.sent, Wait: t.wait})
	}
	return s
}

// Restore returns a scheduler with the state of a snapshot.
func Restore(s Snapshot) *Desk {
	d := NewDesk(s.Domain)
	maps.Copy(d.paces, s.Paces)
	for id, saved := range s.Loads {
		d.loads[id] = saved.restore(s.At)
	}
	for domain, saved := range s.Silences {
		d.silences[domain] = silence{runner: saved.Runner, at: saved.At, until: saved.Until}
	}
	return d
}

func (s LoadSnapshot) restore(at time.Time) *load {
	l := &load{
		running: s.Running, pending: s.Pending, others: s.Others, read: s.ReadTokens, readAt: at,
		failures: s.Failures, noted: at, slowness: s.Slowness, timed: at,
		fullUntil: s.FullUntil, silentUntil: s.SilentUntil, misses: s.Misses, began: s.Began, unorderedUntil: s.UnorderedUntil,
	}
	for _, t := range s.Waiting {
		l.waiting = append(l.waiting, &Ticket{sent: t.Sent, wait: t.Wait})
	}
	return l
}
