package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
)

const (
	// provedTokens is the number of tokens after which a suspect counts as running well.
	provedTokens = 3
	// earlyTime is the time after which the loss of an endpoint speaks less against a request that it ran.
	earlyTime = 2 * time.Second
	// suspectPoll is the pause of a suspect that waits for an endpoint without another one.
	suspectPoll = 20 * time.Millisecond
	// cautionLimit is the longest time that a request waits to run at a moment of its own.
	cautionLimit = 2 * time.Second
	// suspectLimit is the longest time that a suspect waits.
	suspectLimit = 10 * time.Second
)

// fingerprint identifies what a request asks for, whoever asks and in whatever form the answer is wanted.
func (r *modelRequest) fingerprint() quarantine.Fingerprint {
	hash := xxhash.New()
	_, _ = hash.WriteString(r.target.EngineName() + "\x00" + string(r.parsed.Prompt))
	for _, message := range r.parsed.Messages {
		_, _ = hash.WriteString("\x00" + message.Role + "\x00" + string(message.Content))
	}
	return quarantine.Fingerprint(hash.Sum64())
}

// refusal returns the final answer to a quarantined request.
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

// caution returns a random time for which a request waits that was lost with several endpoints, so that it does not
// run beside the one that is to blame once more.
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
