package entry

import (
	"context"
	"crypto/rand"
	"expvar"
	"sync"
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/state/routing"
	"github.com/zinniaroute/zinniaroute/state/workspaces"
)

const (
	headerAuthorization = "Authorization"
	secretBytes         = 32
)

// limitedTotal counts the requests over the allowance of a workspace, by workspace.
var limitedTotal = expvar.NewMap("entryLimited")

// answerer answers a request, or returns the failure to answer with.
type answerer = func(ctx context.Context, x *exchange) *failure

// callerKeys holds the workspaces of the catalog in force, and this entry's share of their allowances. It is safe for concurrent
// use.
type callerKeys struct {
	mu sync.Mutex
	// table finds a workspace by the digest of a key. It is nil if the catalog has no workspaces.
	table *workspaces.Table
	// buckets holds the requests that this entry may still admit, by workspace.
	buckets map[string]*routing.Bucket
	// entries is the number of entries among which allowances are divided.
	entries int
}

// newCallerKeys returns keys that no caller needs. Entries is the number of entries until a control tells it.
func newCallerKeys(entries int) *callerKeys {
	return &callerKeys{buckets: make(map[string]*routing.Bucket), entries: max(1, entries)}
}

// install replaces the workspaces by those of a catalog.
func (k *callerKeys) install(now time.Time, all []catalog.Workspace) {
	var table *workspaces.Table
	if len(all) > 0 {
		secret := make([]byte, secretBytes)
		// Read never returns an error.
		_, _ = rand.Read(secret)
		table = workspaces.NewTable(secret, workspaceEntries(all), callerPriorities)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table = table
	buckets := make(map[string]*routing.Bucket)
	for i := range all {
		w := &all[i]
		if buckets[w.Name] = k.buckets[w.Name]; buckets[w.Name] == nil {
			_, burst := k.share(w.RatePerSecond, w.Burst)
			buckets[w.Name] = routing.NewBucket(now, burst)
		}
	}
	k.buckets = buckets
}

func workspaceEntries(all []catalog.Workspace) []workspaces.Entry {
	entries := make([]workspaces.Entry, len(all))
	for i, w := range all {
		entries[i].Name, entries[i].Keys = w.Name, w.Keys
		entries[i].Limit = workspaces.Limit{PerSecond: w.RatePerSecond, Burst: w.Burst}
		if w.Priority != nil {
			entries[i].Priority, entries[i].HasPriority = *w.Priority, true
		}
	}
	return entries
}

func (k *callerKeys) setEntries(entries int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.entries = entries
}

// share returns the part of a rate and a burst that this entry may admit, at least one request at once. The caller must hold the
// lock.
func (k *callerKeys) share(perSecond, burst float64) (shareOfRate, shareOfBurst float64) {
	return perSecond / float64(k.entries), max(1, burst/float64(k.entries))
}

// workspaces returns the table of the workspaces, or nil.
func (k *callerKeys) workspaces() *workspaces.Table {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table
}

// take charges a request to a workspace. It returns the time until the next request is admitted if this one is not.
func (k *callerKeys) take(now time.Time, w *workspaces.Workspace) (retryAfter time.Duration, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	bucket := k.buckets[w.Name]
	if w.Limit.PerSecond == 0 || bucket == nil {
		return 0, true
	}
	perSecond, burst := k.share(w.Limit.PerSecond, w.Limit.Burst)
	held := bucket.Refill(now, perSecond, burst)
	if bucket.TryTake() {
		return 0, true
	}
	wait := time.Duration(min((1-held)/perSecond, maxRetryAfterSeconds) * float64(time.Second))
	return max(wait, minRetryAfter), false
}

const (
	// maxRetryAfterSeconds bounds the time after which a caller may retry. The share of a low rate may take longer.
	maxRetryAfterSeconds = 3600
	// minRetryAfter is the least time that a caller is told. The bucket may lack a request by a rounding error.
	minRetryAfter = time.Millisecond
)

func (k *callerKeys) refund(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if bucket := k.buckets[name]; bucket != nil {
		bucket.Add(1)
	}
}

// workspaceState is a workspace as operators get it.
type workspaceState struct {
	Name string `json:"name"`
	// RatePerSecond is the share of this entry, or zero for a workspace without a limit, and Left what it may admit at once.
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
	Left          float64 `json:"left,omitempty"`
}

func (k *callerKeys) states(now time.Time) []workspaceState {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.table == nil {
		return nil
	}
	var states []workspaceState
	for _, w := range k.table.All() {
		state := workspaceState{Name: w.Name}
		if w.Limit.PerSecond > 0 {
			perSecond, burst := k.share(w.Limit.PerSecond, w.Limit.Burst)
			state.RatePerSecond, state.Left = perSecond, k.buckets[w.Name].Refill(now, perSecond, burst)
		}
		states = append(states, state)
	}
	return states
}

// authenticated returns an answerer that answers the requests of known workspaces. It removes the key from the request.
func (e *Entry) authenticated(answer answerer) answerer {
	return func(ctx context.Context, x *exchange) *failure {
		table := e.callerKeys.workspaces()
		if table == nil {
			return answer(ctx, x)
		}
		header := &x.requestContext.Request.Header
		key, reason := workspaces.ParseBearer(header.GetAll(headerAuthorization))
		header.Del(headerAuthorization)
		if reason == "" {
			found, ok := table.Find(catalog.KeyDigest(key))
			if x.workspace = found; !ok {
				reason = "an unknown key"
			}
		}
		if reason != "" {
			e.log.Emit(eventlog.RequestUnauthorized, x.id, string(x.requestContext.Path()), x.requestContext.RemoteAddr().String(), reason)
			return &failure{
				status: statusUnauthorized, errorType: openai.TypeInvalidRequest, code: openai.CodeInvalidKey, outcome: caller.NotRun,
				message: "this deployment needs a valid key; the request has " + reason,
			}
		}
		return answer(ctx, x)
	}
}

// charged returns an answerer that answers requests within the allowance of their workspace.
func (e *Entry) charged(answer answerer) answerer {
	return func(ctx context.Context, x *exchange) *failure {
		if x.workspace == nil {
			return answer(ctx, x)
		}
		retryAfter, ok := e.callerKeys.take(x.receivedAt, x.workspace)
		if !ok {
			limitedTotal.Add(x.workspace.Name, 1)
			return &failure{
				status: statusTooMany, errorType: openai.TypeRequests, code: openai.CodeRateLimit, outcome: caller.NotRun,
				message:    "workspace " + x.workspace.Name + " sends more requests than its allowance",
				retryAfter: retryAfter,
			}
		}
		x.charged = true
		return answer(ctx, x)
	}
}

// refund gives the allowance of a request back that has not run.
func (e *Entry) refund(x *exchange, failed *failure) {
	if x.charged && failed.outcome == caller.NotRun {
		e.callerKeys.refund(x.workspace.Name)
	}
}

// callerPriorities are the priorities that callers set in the header.
var callerPriorities = []int{0, 1, 2}

// readCallerHeaders reads the options in the headers. The workspace's priority precedes the caller's, and the caller's name and
// idempotency keys count within the workspace.
func (e *Entry) readCallerHeaders(x *exchange) (requestHeaders, *failure) {
	headers, failed := readHeaders(x.requestContext)
	table := e.callerKeys.workspaces()
	if failed != nil || x.workspace == nil || table == nil {
		return headers, failed
	}
	headers.caller = x.workspace.Name + "\x00" + headers.caller
	headers.priority = table.Rank(table.Priority(x.workspace), headers.priority)
	// Engines take a request without a priority for one of the most urgent.
	headers.hasPriority = headers.hasPriority || headers.priority > 0
	return headers, nil
}
