package lifecycle

import "time"

// BudgetBounds limits the retries that all VMs together send to a service.
type BudgetBounds struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries per window that are allowed at any load. All VMs share it.
	Slack float64
	// Window is the length of the sliding window over which requests and retries are counted.
	Window time.Duration
}

// reserve is the usable fraction of the budget. The rest is a margin for requests that other VMs count
// differently.
const reserve = 0.8

// SharedBudget is the retry budget of one VM for a service: its part of the retries that all VMs may send.
type SharedBudget struct {
	bounds   BudgetBounds
	requests []time.Time
	repeats  []time.Time
	// members is the number of VMs that share the slack.
	members int
}

// NewSharedBudget returns the retry budget of a VM that has the whole slack for itself.
func NewSharedBudget(bounds BudgetBounds) *SharedBudget {
	return &SharedBudget{bounds: bounds, members: 1}
}

// SetMembers sets the number of VMs that share the slack.
func (b *SharedBudget) SetMembers(members int) { b.members = max(1, members) }

// Arrived counts a request from a caller, but not its retries.
func (b *SharedBudget) Arrived(now time.Time) {
	b.requests = append(trim(b.requests, now.Add(-b.bounds.Window)), now)
}

// Left returns the number of retries that may be sent now.
func (b *SharedBudget) Left(now time.Time) int {
	from := now.Add(-b.bounds.Window)
	b.requests, b.repeats = trim(b.requests, from), trim(b.repeats, from)
	allowed := b.bounds.Ratio*float64(len(b.requests)) + b.bounds.Slack/float64(b.members)
	return int(allowed*reserve) - len(b.repeats)
}

// Take uses up one retry. It reports false when none is left.
func (b *SharedBudget) Take(now time.Time) bool {
	if b.Left(now) <= 0 {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

// trim removes the times before from, which are at the front of the sorted list.
func trim(times []time.Time, from time.Time) []time.Time {
	first := 0
	for first < len(times) && times[first].Before(from) {
		first++
	}
	return times[first:]
}
