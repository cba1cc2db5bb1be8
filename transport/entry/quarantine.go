package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
)

const (
	// probationTokens is the number of tokens from an endpoint after which the probation of a suspect ends.
	probationTokens = 3
	// suspectPollInterval is the interval at which a waiting suspect looks for an endpoint that runs no other suspect.
	suspectPollInterval = 20 * time.Millisecond
	// maxRandomDelay is the upper limit of the random delay of a request with several crashes.
	maxRandomDelay = 2 * time.Second
	// suspectWaitTimeout is the time after which a suspect stops waiting for an endpoint that runs no other suspect.
	suspectWaitTimeout = 10 * time.Second
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

// quarantineFailure returns the failure for a quarantined request, or nil if the request is not quarantined.
func (t *table) quarantineFailure(now time.Time, f quarantine.Fingerprint) *failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := t.quarantine.RetryAfter(now, f)
	if wait == 0 {
		return nil
	}
	return &failure{
		status:     statusUnprocessable,
		errorType:  openai.TypeInvalidRequest,
		code:       codeQuarantined,
		message:    "this request was lost together with the endpoints that ran it and is refused for a while",
		outcome:    caller.NotRun,
		retryAfter: wait,
	}
}

// randomDelay returns a random delay for a request that ran on several endpoints when they crashed, else zero.
// The delay keeps it from running again beside the request that caused the crashes.
func (t *table) randomDelay(now time.Time, f quarantine.Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.quarantine.NeedsRandomDelay(now, f) {
		return 0
	}
	return time.Duration(t.random.Float64() * float64(maxRandomDelay))
}

func (t *table) endProbation(f quarantine.Fingerprint, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantine.EndProbation(f, endpoint)
}

func (t *table) recordCompleted(now time.Time, f quarantine.Fingerprint, endpoint string, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantine.RecordCompleted(now, f, endpoint, sentAt)
}

func (t *table) recordCrash(now time.Time, crash quarantine.Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantine.RecordCrash(now, crash)
}

func (t *table) unreportedCrashes(now time.Time) []quarantine.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantine.Expire(now)
	return t.quarantine.Unreported()
}

func (t *table) recordCrashesReported(crashes []quarantine.Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantine.RecordReported(crashes)
}

func (t *table) mergeCrashes(now time.Time, crashes []quarantine.Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantine.Merge(now, crashes)
}

func (t *table) suspicions(now time.Time) []quarantine.Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantine.All(now)
}
