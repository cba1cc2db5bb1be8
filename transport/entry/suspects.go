package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
)

const (
	// provedTokens is the number of tokens from an endpoint after which the probation of a suspect ends.
	provedTokens = 3
	// earlyTime is the time after sending in which a crash of the endpoint counts as early. A later crash is less likely
	// to be caused by the request.
	earlyTime = 2 * time.Second
	// suspectPoll is the interval at which a waiting suspect looks for an endpoint that runs no other suspect.
	suspectPoll = 20 * time.Millisecond
	// cautionLimit is the upper limit of the random delay of a request with several crashes.
	cautionLimit = 2 * time.Second
	// suspectLimit is the time after which a suspect stops waiting for an endpoint that runs no other suspect.
	suspectLimit = 10 * time.Second
)

// fingerprint returns a hash of the model and the prompt or messages. The caller and the format of the answer do not
// affect it.
func (r *modelRequest) fingerprint() quarantine.Fingerprint {
	hash := xxhash.New()
	_, _ = hash.WriteString(r.target.EngineName() + "\x00" + string(r.parsed.Prompt))
	for _, message := range r.parsed.Messages {
		_, _ = hash.WriteString("\x00" + message.Role + "\x00" + string(message.Content))
	}
	return quarantine.Fingerprint(hash.Sum64())
}

// refusal returns the failure for a quarantined request, or nil if the request is not quarantined.
func (t *table) refusal(now time.Time, f quarantine.Fingerprint) *failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := t.desk.RetryAfter(now, f)
	if wait == 0 {
		return nil
	}
	return &failure{
		status:     statusUnprocessable,
		kind:       openai.TypeInvalidRequest,
		code:       codeQuarantined,
		message:    "this request was lost together with the endpoints that ran it and is refused for a while",
		outcome:    caller.NotRun,
		retryAfter: wait,
	}
}

// caution returns a random delay for a request that ran on several endpoints when they crashed, and zero for others.
// The delay keeps it from running again beside the request that caused the crashes.
func (t *table) caution(now time.Time, f quarantine.Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.desk.NeedsRandomDelay(now, f) {
		return 0
	}
	return time.Duration(t.random.Float64() * float64(cautionLimit))
}

func (t *table) proved(f quarantine.Fingerprint, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.desk.EndProbation(f, endpoint)
}

func (t *table) finished(f quarantine.Fingerprint, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.desk.RecordCompleted(f, endpoint)
}

func (t *table) lostUnder(now time.Time, f quarantine.Fingerprint, endpoint string, early bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.desk.RecordCrash(now, f, endpoint, early)
}

func (t *table) suspicionNews() []quarantine.Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.desk.TakeUnreported()
}

func (t *table) learn(now time.Time, suspicions []quarantine.Suspicion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.desk.Merge(now, suspicions)
}

func (t *table) suspicions() []quarantine.Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.desk.All()
}
