package gateway

import (
	"context"
	"encoding/json"
	"regexp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/origins"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

const (
	// streamsPrefix starts the keys in the store of the origins of streams. The rest is the attempt that brought the first
	// event.
	streamsPrefix = "streams/"
	// maxQueuedOrigins bounds the origins that wait to be stored, and maxStoredAtOnce those of one transaction.
	maxQueuedOrigins = 1024
	maxStoredAtOnce  = 32
	// originStoreTime is how long storing an origin is tried.
	originStoreTime = 2 * time.Second
	// originReadTimeout bounds the time to read an origin. A healthy store answers in a few milliseconds.
	originReadTimeout = 300 * time.Millisecond
	// originWriteShare is the part of the store's writes a second that origins may take, over all VMs.
	originWriteShare = 0.25
	// takeUpMargin is added to a route's timeout for the time until a caller comes back.
	takeUpMargin = 2 * time.Second
	// unknownOriginRetryAfter is the time after which a caller may try another VM, which may know the origin of its stream.
	unknownOriginRetryAfter = 300 * time.Millisecond
)

// storableAttempt matches the identifiers of attempts that can be part of a key.
var storableAttempt = regexp.MustCompile(`^[0-9A-Za-z_-]{1,64}$`)

var errNoConfiguration = errors.New("no configuration yet")

// queuedOrigin is the origin of a stream that waits to be stored.
type queuedOrigin struct {
	attempt  string
	origin   origins.Origin
	queuedAt time.Time
	binding  *binding
}

// recordOrigin records at which software a stream has begun, for callers that take it up: here, and in the store for other
// VMs and for the time after a restart.
func (g *Gateway) recordOrigin(now time.Time, s *stream) {
	origin := origins.Origin{Service: s.service, Software: s.binding.software}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.origins.Put(now, s.attempt, origin, s.until)
	if !storableAttempt.MatchString(s.attempt) || len(g.queuedOrigins) >= maxQueuedOrigins {
		streamRecords.Add("notStored", 1)
		return
	}
	g.queuedOrigins = append(g.queuedOrigins, queuedOrigin{s.attempt, origin, now, s.binding})
	select {
	case g.originsQueued <- struct{}{}:
	default:
	}
}

// streamLifetime returns the longest time from the first event of a stream until its caller takes it up.
func streamLifetime(route *routes.Route) time.Duration {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return timeout + takeUpMargin
}

// storeOrigins writes the origins of streams to the store, many at once and not too often.
func (g *Gateway) storeOrigins(ctx context.Context) error {
	w := originWriter{gateway: g}
	for ctx.Err() == nil {
		select {
		case <-g.originsQueued:
		case <-ctx.Done():
			return nil
		}
		for batch := g.takeQueuedOrigins(clock.Now()); len(batch) > 0; batch = g.takeQueuedOrigins(clock.Now()) {
			w.write(ctx, batch)
			group.Sleep(ctx, g.originWriteInterval())
		}
	}
	return nil
}

// originWriteInterval returns the time between two writes of this VM, which share the store's writes with other VMs.
func (g *Gateway) originWriteInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	perSecond := originWriteShare * g.settings.StoreWritesPerSecond
	return time.Duration(float64(g.members()) / perSecond * float64(time.Second))
}

// takeQueuedOrigins takes the oldest queued origins of streams that are still under way or have broken off.
func (g *Gateway) takeQueuedOrigins(now time.Time) []queuedOrigin {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queuedOrigins = slices.DeleteFunc(g.queuedOrigins, func(q queuedOrigin) bool {
		return q.binding.complete.Load() || now.Sub(q.queuedAt) >= originStoreTime
	})
	count := min(len(g.queuedOrigins), maxStoredAtOnce)
	batch := slices.Clone(g.queuedOrigins[:count])
	g.queuedOrigins = slices.Delete(g.queuedOrigins, 0, count)
	return batch
}

// originWriter writes origins to the store. Their keys end with a lease.
type originWriter struct {
	gateway *Gateway
	lease   platform.Lease
	// leaseUntil is the time until which new keys get the lease, so that they live for the longest time of a stream.
	leaseUntil time.Time
	failing    bool
}

func (w *originWriter) write(ctx context.Context, batch []queuedOrigin) {
	g := w.gateway
	err := w.commit(ctx, batch)
	if err == nil {
		streamRecords.Add("stored", int64(len(batch)))
		w.failing = false
		return
	}
	w.lease = platform.Lease{}
	if !w.failing {
		g.log.Emit(eventlog.OriginsNotStored, len(batch), err)
	}
	w.failing = true
	g.mu.Lock()
	g.queuedOrigins = append(batch, g.queuedOrigins...)
	g.mu.Unlock()
	group.Sleep(ctx, storeRetryInterval)
}

func (w *originWriter) commit(ctx context.Context, batch []queuedOrigin) error {
	if err := w.renewLease(ctx, clock.Now()); err != nil {
		return err
	}
	t := platform.Transaction{Era: w.lease.Era}
	for _, q := range batch {
		value, err := json.Marshal(q.origin)
		if err != nil {
			return errors.Wrap(err, "encode origin")
		}
		t.Writes = append(t.Writes, platform.Write{Key: streamsPrefix + q.attempt, Value: value, Lease: w.lease})
	}
	_, err := w.gateway.store.Commit(ctx, t)
	return err
}

// renewLease gets a new lease if the present one ends too soon for new keys.
func (w *originWriter) renewLease(ctx context.Context, now time.Time) error {
	if w.lease != (platform.Lease{}) && now.Before(w.leaseUntil) {
		return nil
	}
	table := w.gateway.table.Load()
	if table == nil {
		return errNoConfiguration
	}
	lifetime := time.Duration(0)
	table.Each(func(route *routes.Route) {
		if route.Resumable {
			lifetime = max(lifetime, streamLifetime(route))
		}
	})
	lease, ttl, err := w.gateway.store.GrantLease(ctx, 2*lifetime)
	w.lease, w.leaseUntil = lease, now.Add(ttl-lifetime)
	return err
}

// takeUp prepares a request that goes on with a stream that broke off: it binds it to the software that began the stream,
// and sends it to that service. If the origin is not known, the request has no binding.
func (x *exchange) takeUp(ctx context.Context, now time.Time) {
	x.resumption = true
	origin, source := x.findOrigin(ctx, now)
	allowed := slices.ContainsFunc(x.route.TrafficSplit, func(s routes.WeightedService) bool {
		return s.Service == origin.Service && s.Weight > 0
	})
	if source != "" && !allowed {
		source = "another service"
	}
	streamRecords.Add("takenUp."+source, 1)
	x.gateway.log.Emit(
		eventlog.StreamTakenUp, x.request.ID, x.request.Resumption.Attempt, x.request.Resumption.After, origin.Software, source,
	)
	if !allowed {
		return
	}
	x.service = origin.Service
	x.binding = &binding{done: make(chan struct{}), software: origin.Software}
	close(x.binding.done)
}

// findOrigin returns the origin of the stream that a caller takes up, and the source of the knowledge, or "" if it is not
// known.
func (x *exchange) findOrigin(ctx context.Context, now time.Time) (origins.Origin, string) {
	g, attempt := x.gateway, x.request.Resumption.Attempt
	if origin, ok := g.ownOrigin(ctx, now, attempt); ok {
		return origin, "this VM"
	}
	// Another VM or another process may have begun the stream.
	service := ""
	if len(x.route.TrafficSplit) == 1 {
		service = x.route.TrafficSplit[0].Service
	}
	g.mu.Lock()
	several := g.versions.HasSeveral(service)
	g.mu.Unlock()
	var storeErr error
	if service != "" && !several {
		var software string
		if software, storeErr = g.soleVersion(ctx, service, x.request.Unit.Model, now); storeErr == nil {
			return origins.Origin{Service: service, Software: software}, "only version"
		}
	}
	if storableAttempt.MatchString(attempt) {
		var origin origins.Origin
		if origin, storeErr = g.readOrigin(ctx, attempt); storeErr == nil {
			return origin, "store"
		}
	}
	if storeErr == nil || errors.Is(storeErr, platform.ErrNoItem) || errors.Is(storeErr, errOriginUnknown) {
		return origins.Origin{}, ""
	}
	if origin, ok := g.askPeers(ctx, vm.OriginRequest{Attempt: attempt, Service: service, Model: x.request.Unit.Model}); ok {
		return origin, "peer"
	}
	return origins.Origin{}, ""
}

// readOrigin reads the origin of a stream from the store.
func (g *Gateway) readOrigin(ctx context.Context, attempt string) (origins.Origin, error) {
	ctx, cancel := context.WithTimeout(ctx, originReadTimeout)
	defer cancel()
	item, err := g.store.Get(ctx, streamsPrefix+attempt)
	if err != nil {
		return origins.Origin{}, err
	}
	var origin origins.Origin
	if err := json.Unmarshal(item.Value, &origin); err != nil || origin.Software == "" {
		return origins.Origin{}, errOriginUnknown
	}
	return origin, nil
}

// refuseTakeUp returns the refusal of a request that goes on with a stream of unknown origin.
func (x *exchange) refuseTakeUp() lifecycle.NoEndpoint {
	refusal := lifecycle.NoEndpoint{
		Reason: "it is not known which software began the stream", RetryAfter: unknownOriginRetryAfter,
	}
	x.gateway.log.Emit(eventlog.NoEndpoint, x.request.ID, refusal.Reason, 0, 0)
	return refusal
}
