package lifecycle

import "time"

// BudgetBounds limit the repeats of all VMs together.
type BudgetBounds struct {
	// Ratio is the number of repeats for each request.
	Ratio float64
	// Slack is the number of repeats within a window that are allowed at any load.
	Slack float64
	// Window is the sliding span in which repeats are counted.
	Window time.Duration
}

// reserve is the part of the budget that is used; the rest covers requests that other VMs count differently.
const reserve = 0.8

// SharedBudget is one VM's part of the repeats that all VMs may send to a service.
type SharedBudget struct {
	bounds   BudgetBounds
	requests []time.Time
	repeats  []time.Time
	// members is the number of VMs that share the slack.
	members int
}

// NewSharedBudget returns the budget of a VM that is alone.
func NewSharedBudget(bounds BudgetBounds) *SharedBudget {
	return &SharedBudget{bounds: bounds, members: 1}
}

// SetMembers tells how many VMs share the slack.
func (b *SharedBudget) SetMembers(members int) { b.members = max(1, members) }

// Arrived counts a request of a caller.
func (b *SharedBudget) Arrived(now time.Time) {
	b.requests = append(trim(b.requests, now.Add(-b.bounds.Window)), now)
}

// Left returns the number of repeats that may be sent now.
func (b *SharedBudget) Left(now time.Time) int {
	from := now.Add(-b.bounds.Window)
	b.requests, b.repeats = trim(b.requests, from), trim(b.repeats, from)
	allowed := b.bounds.Ratio*float64(len(b.requests)) + b.bounds.Slack/float64(b.members)
	return int(allowed*reserve) - len(b.repeats)
}

// Take uses up one repeat, or reports that none is left.
func (b *SharedBudget) Take(now time.Time) bool {
	if b.Left(now) <= 0 {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

// trim drops the times before a moment from the front of a sorted list.
func trim(times []time.Time, from time.Time) []time.Time {
	first := 0
	for first < len(times) && times[first].Before(from) {
		first++
	}
	return times[first:]
}
