package dispatch

import (
	"maps"
	"time"

	"github.com/zinniaroute/zinniaroute/state/decay"
)

// Snapshot is what a desk knows, from which its choices can be made again. Which runner keeps the shared parts of
// which prompts is left out, but for the runner on which all VMs expect them.
type Snapshot struct {
	Domain string    `json:"domain"`
	At     time.Time `json:"at"`
	// Loads are the endpoints' by name.
	Loads map[string]LoadSnapshot `json:"loads"`
	// Silences are the failure domains' of which a runner was not reached.
	Silences map[string]SilenceSnapshot `json:"silences,omitempty"`
	// Paces are the logarithms of the measured paces of models.
	Paces map[string]float64 `json:"paces,omitempty"`
}

// LoadSnapshot is what a desk knows of an endpoint; averages are as of the snapshot.
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

// TicketSnapshot is a request whose answer has not begun.
type TicketSnapshot struct {
	Sent time.Time     `json:"sent"`
	Wait time.Duration `json:"waitNs"`
}

// SilenceSnapshot is a failure domain whose runner was not reached.
type SilenceSnapshot struct {
	Runner string    `json:"runner"`
	At     time.Time `json:"at"`
	Until  time.Time `json:"until,omitzero"`
}

// Snapshot returns what the desk knows.
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

// Restore returns a desk that knows what a snapshot holds.
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
