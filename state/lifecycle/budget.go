package lifecycle

import (
	"slices"
	"time"
)

// RetryBudgetLimits limits the retries that all VMs together send to a service.
type RetryBudgetLimits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries per window that are allowed at any load. All VMs share it.
	Slack float64
	// Window is the length of the sliding window over which requests and retries are counted.
	Window time.Duration
}

// usableFraction is the part of the budget that a VM uses. The rest is a margin for requests that other VMs count
// differently.
const usableFraction = 0.8

// RetryBudget is the retry budget of one VM for a service: its part of the retries that all VMs may send.
type RetryBudget struct {
	limits       RetryBudgetLimits
	requestTimes []time.Time
	retryTimes   []time.Time
	// members holds the numbers of VMs that share the slack, the present one last.
	members []memberCount
}

// memberCount is a number of VMs until a time, or the present number if the time is zero.
type memberCount struct {
	members int
	until   time.Time
}

// NewRetryBudget returns the retry budget of a VM that has the whole slack for itself.
func NewRetryBudget(limits RetryBudgetLimits) *RetryBudget { return &RetryBudget{limits: limits} }

// SetLimits replaces the limits. The requests and retries of the present window still count.
func (b *RetryBudget) SetLimits(limits RetryBudgetLimits) { b.limits = limits }

// SetMembers sets the number of VMs that share the slack.
func (b *RetryBudget) SetMembers(now time.Time, members int) {
	if last := len(b.members) - 1; last >= 0 {
		if b.members[last].members == members {
			return
		}
		b.members[last].until = now
	}
	b.members = append(b.members, memberCount{members: members})
}

// sharing returns the largest number of VMs within the window. VMs that are not members any more may have used their
// part, or may be alive without a key in the store.
func (b *RetryBudget) sharing(from time.Time) int {
	b.members = slices.DeleteFunc(b.members, func(c memberCount) bool { return !c.until.IsZero() && c.until.Before(from) })
	largest := 1
	for _, c := range b.members {
		largest = max(largest, c.members)
	}
	return largest
}

// RecordRequest counts a request from a caller, but not its retries.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.requestTimes = append(removeBefore(b.requestTimes, now.Add(-b.limits.Window)), now)
}

// Remaining returns the number of retries that may be sent now.
func (b *RetryBudget) Remaining(now time.Time) int {
	from := now.Add(-b.limits.Window)
	b.requestTimes, b.retryTimes = removeBefore(b.requestTimes, from), removeBefore(b.retryTimes, from)
	allowed := b.limits.Ratio*float64(len(b.requestTimes)) + b.limits.Slack/float64(b.sharing(from))
	return int(allowed*usableFraction) - len(b.retryTimes)
}

// Take uses up one retry. It reports false when none is left.
func (b *RetryBudget) Take(now time.Time) bool {
	if b.Remaining(now) <= 0 {
		return false
	}
	b.retryTimes = append(b.retryTimes, now)
	return true
}

// removeBefore removes the times before from, which are at the front of the sorted list.
func removeBefore(times []time.Time, from time.Time) []time.Time {
	first := 0
	for first < len(times) && times[first].Before(from) {
		first++
	}
	return times[first:]
}
