package admission

import (
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/routes"
)

const (
	// minPatience, patienceTargets and patiencePauses say how long the platform's callers wait for the first event of a
	// stream: for the longest of minPatience, four times the target and eight times the longest pause.
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patiencePauses  = 8
	// patienceMargin is the time before the end of a caller's patience at which it is answered, so that the answer reaches it.
	patienceMargin = 150 * time.Millisecond
	// planTime is the time from the loss of a model's last replica to the order for a load.
	planTime = 500 * time.Millisecond
	// minOverdue is the shortest time by which a load may be late before it is not waited for any more. A load that is late
	// by its own time has failed, or there is no room for the model.
	minOverdue = time.Second
	// overdueRetryAfter is the time after which a caller may retry if a load is overdue.
	overdueRetryAfter = time.Second
)

// Patience returns the time from the arrival of a request within which its caller must get the head of a response. A
// stream's caller leaves when no event comes for some time; any other caller waits until the deadline.
func Patience(r *fleet.Request) time.Duration {
	patience := r.Deadline.Sub(r.ArrivedAt)
	if r.Kind == routes.Stream {
		patience = min(patience, max(minPatience, patienceTargets*r.TargetLatency, patiencePauses*r.MaxPause))
	}
	return max(0, patience-patienceMargin)
}

// Unloaded describes a model that no runner holds.
type Unloaded struct {
	// Since is when it was first missing, as far as this VM knows.
	Since time.Time
	// LoadTime is the time that a load takes on the runner that is quickest.
	LoadTime time.Duration
}

// DecideUnloaded decides on a request for a model that no runner holds. It stays in the queue if the model is expected to be
// loaded while its caller waits, and the load is not long overdue. Otherwise it is rejected at once, with the time after
// which the model is expected: a caller that has waited in vain has less time left to come back.
func DecideUnloaded(now time.Time, r *fleet.Request, u Unloaded) Decision {
	patienceEnd := r.ArrivedAt.Add(Patience(r))
	loadedAt := u.Since.Add(planTime + u.LoadTime)
	givenUpAt := loadedAt.Add(max(minOverdue, u.LoadTime))
	if now.Before(patienceEnd) && now.Before(givenUpAt) && !loadedAt.After(patienceEnd) {
		return Decision{Deferred: true, Reason: "the model is being loaded"}
	}
	retryAfter := overdueRetryAfter
	if loadedAt.After(now) {
		retryAfter = max(minRetryAfter, loadedAt.Sub(now))
	}
	return Decision{Reason: "no endpoint holds " + r.Unit.String(), RetryAfter: retryAfter}
}
