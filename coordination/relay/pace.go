package relay

import "time"

const (
	// pacedLinkShare is the share of the link that large values may take. The rest is for requests and for the exchanges
	// that show who lives.
	pacedLinkShare = 0.6
	// paceBurst is the time whose bytes may be sent at once. Answers that wait behind them arrive that much later.
	paceBurst = 100 * time.Millisecond
	// bytesPerMegabit converts the speed of a link.
	bytesPerMegabit = 1e6 / 8
)

// Pace limits the bytes of large values that a VM forwards, so that all VMs get a change one after the other. Otherwise their
// calls would time out together.
type Pace struct {
	bytesPerSecond float64
	// tokens is the number of bytes that may be sent at the time at. It is negative while what was sent takes its time.
	tokens float64
	at     time.Time
}

// NewPace returns the pace for a link of a speed in megabits per second. Zero means an unknown speed, and no limit.
func NewPace(linkMbps float64) *Pace {
	return &Pace{bytesPerSecond: pacedLinkShare * linkMbps * bytesPerMegabit}
}

// Take reports whether a value of a number of bytes may be sent now, and counts it if so.
func (p *Pace) Take(now time.Time, bytes int) bool {
	if p.bytesPerSecond <= 0 {
		return true
	}
	p.refill(now)
	if p.tokens <= 0 {
		return false
	}
	p.tokens -= float64(bytes)
	return true
}

// Force counts a value that is sent in any case.
func (p *Pace) Force(now time.Time, bytes int) {
	p.refill(now)
	p.tokens -= float64(bytes)
}

func (p *Pace) refill(now time.Time) {
	p.tokens = min(p.tokens+p.bytesPerSecond*now.Sub(p.at).Seconds(), p.bytesPerSecond*paceBurst.Seconds())
	p.at = now
}

// largeBytes returns the size of the large values of a view.
func (v *View) largeBytes() int {
	bytes := 0
	for _, item := range v.Items {
		if item.isLarge() {
			bytes += len(item.Value)
		}
	}
	return bytes
}

// HoldBack removes the large values of a view if the pace does not allow them now. A later view brings them, as the view's
// revision is the one before them. Whole content is not held back.
func (v *View) HoldBack(now time.Time, pace *Pace) {
	bytes := v.largeBytes()
	if bytes == 0 {
		return
	}
	if v.Full {
		pace.Force(now, bytes)
		return
	}
	if pace.Take(now, bytes) {
		return
	}
	kept := make([]Item, 0, len(v.Items))
	for _, item := range v.Items {
		if item.isLarge() {
			v.HeldBack = true
			v.Revision = min(v.Revision, item.Revision-1)
			continue
		}
		kept = append(kept, item)
	}
	v.Items = kept
}
