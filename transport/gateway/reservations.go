package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/reservations"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/rpc"
)

const (
	// questionTimeout is the time for which a request waits for the owners of runners, in all rounds together.
	questionTimeout = 20 * time.Millisecond
	// questionInterval is the time until a request that was deferred asks again.
	questionInterval = 40 * time.Millisecond
	// reservationCallTimeout is the time limit for the calls. It exceeds questionTimeout, since a call that ends early closes its
	// connection, and an owner that answers late would be connected to anew for each question.
	reservationCallTimeout = 200 * time.Millisecond
	// maxQuestions is the number of requests of a VM that ask at a time. Others are decided on by the summary, since a VM on which
	// so many wait for answers has no processor time for more calls.
	maxQuestions = 32
	// releaseInterval is the time for which releases are collected before they are sent.
	releaseInterval = 5 * time.Millisecond
	// maxQueuedReleases is the number of releases for one owner above which others are dropped. The owner ends their reservations
	// after reservations.Lifetime.
	maxQueuedReleases = 1024
)

// reservationState is what a VM knows of reservations, as the owner of runners and as one that asks. The gateway's field mu
// protects it.
type reservationState struct {
	table    *reservations.Table
	backoffs *reservations.Backoffs
	lastID   uint64
	// timeout is questionTimeout, except in tests.
	timeout time.Duration
	// questions is the number of requests that ask now.
	questions int
	// releases holds the releases to be sent, by owner. A task sends those of an owner as long as it has an element.
	releases map[string][]vm.Release
}

func newReservationState() reservationState {
	return reservationState{
		table: reservations.NewTable(), backoffs: reservations.NewBackoffs(), timeout: questionTimeout,
		releases: make(map[string][]vm.Release),
	}
}

// promptReservations are the reservations of one request.
type promptReservations struct {
	// asked holds the owners that were asked to reserve the prompt and have not been told to release it, by runner. They may not
	// have answered.
	asked map[string]askedOwner
	// askedAt is when the last question began, answered are the runners whose owners have answered it, and near those that might
	// have been chosen without it.
	askedAt        time.Time
	answered, near []string
}

// askedOwner is an owner that was asked to reserve a prompt under an ID. Each question has an ID of its own, since an owner does not
// count what has been released.
type askedOwner struct {
	vm string
	id uint64
}

// ask asks the owners of the best runners for the prompts that await prefill there, and reserves the request's own prompt. It asks
// for others while all of these are busy and time is left.
func (w *wait) ask(ctx context.Context) {
	x, g := w.exchange, w.gateway
	if !w.beginQuestion(clock.Now()) {
		return
	}
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.reservations.questions--
	}()
	ctx, cancel := context.WithTimeout(ctx, g.reservations.timeout)
	defer cancel()
	var asked, answered []string
	for round := 1; ; round++ {
		questions := w.questions(clock.Now(), asked)
		for _, q := range questions {
			asked = append(asked, q.Runner.ID)
			if q.Near && round == 1 {
				x.reserved.near = append(x.reserved.near, q.Runner.ID)
			}
		}
		answered = append(answered, x.reserve(ctx, questions)...)
		x.reserved.answered = answered
		if len(questions) == 0 || len(answered) == 0 || ctx.Err() != nil {
			return
		}
		now := clock.Now()
		best, ok := w.best(now)
		if !ok || !best.AskFurther(round) {
			return
		}
		answered = []string{best.Runner.ID}
		x.releaseExcept(now, best.Runner.ID)
	}
}

// beginQuestion reports whether a request may ask the owners of runners now, and counts the question if so.
func (w *wait) beginQuestion(now time.Time) bool {
	x, g := w.exchange, w.gateway
	if !g.settings.PrefillReservations || x.route.Kind != routes.Stream || x.request.Unit.Model == "" || x.forwarded ||
		x.machine.MayHaveRun() || now.Sub(x.reserved.askedAt) < questionInterval {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	runners := g.directory.OfService(x.service)
	// A request that lets others decide first would not be sent now.
	if len(runners) == 0 || g.engineOf(runners[0]) == nil || g.reservations.questions >= maxQuestions ||
		g.queue.MustWait(now, w.entry) {
		return false
	}
	g.reservations.questions++
	x.reserved.askedAt, x.reserved.near, x.reserved.answered = now, nil, nil
	return true
}

// questions returns the runners whose owners to ask, except those that were asked.
func (w *wait) questions(now time.Time, asked []string) []dispatch.Question {
	x, g := w.exchange, w.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	runners := x.endpoints(g.directory.OfService(x.service), w.software)
	return g.scheduler.Questions(now, &x.request, runners, w.excluded, asked, g.random)
}

// best returns the choice among the runners whose owners have answered, if there is one.
func (w *wait) best(now time.Time) (dispatch.Choice, bool) {
	x, g := w.exchange, w.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	runners := x.endpoints(g.directory.OfService(x.service), w.software)
	return g.scheduler.ChooseAnswered(now, &x.request, runners, w.excluded, x.reserved.answered, g.random.Float64())
}

// reserve reserves the prompt at runners, and returns those whose owners have answered before the context ended.
func (x *exchange) reserve(ctx context.Context, questions []dispatch.Question) []string {
	g, now := x.gateway, clock.Now()
	calls := x.reserveCalls(now, questions)
	reservationRecords.Add("asked", int64(len(questions)))
	var answered []string
	if own := calls[g.settings.Name]; own != nil {
		answered = g.observe(now, g.serveReserve(now, own))
		delete(calls, g.settings.Name)
	}
	type answer struct {
		owner    string
		response *vm.ReserveResponse
	}
	answers := make(chan answer, len(calls))
	for owner, q := range calls {
		g.tasks.Run("reserve prompt", func(ctx context.Context) { answers <- answer{owner, g.callReserve(ctx, owner, q)} })
	}
	for len(calls) > 0 && ctx.Err() == nil {
		select {
		case a := <-answers:
			delete(calls, a.owner)
			if a.response != nil {
				answered = append(answered, g.observe(clock.Now(), a.response)...)
				g.recordAnswer(a.owner)
			}
		case <-ctx.Done():
		}
	}
	if len(calls) > 0 {
		now = clock.Now()
		g.mu.Lock()
		for owner := range calls {
			g.reservations.backoffs.RecordFailure(now, owner)
		}
		g.mu.Unlock()
	}
	reservationRecords.Add("answered", int64(len(answered)))
	reservationRecords.Add("unanswered", int64(len(questions)-len(answered)))
	return answered
}

// reserveCalls returns the calls that reserve the prompt at runners, by owner. It leaves out owners that do not answer at present.
func (x *exchange) reserveCalls(now time.Time, questions []dispatch.Question) map[string]*vm.ReserveRequest {
	g, calls := x.gateway, make(map[string]*vm.ReserveRequest)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reservations.lastID++
	id := g.reservations.lastID
	for _, q := range questions {
		owner := g.owners.Owner(q.Runner.ID)
		if owner == "" || owner != g.settings.Name && (g.peers.unresponsive(now, owner) || !g.reservations.backoffs.MayAsk(now, owner)) {
			continue
		}
		if calls[owner] == nil {
			calls[owner] = &vm.ReserveRequest{
				VM: g.settings.Name, Incarnation: g.incarnation, ID: id, Level: x.request.Priority,
			}
		}
		calls[owner].Prompts = append(calls[owner].Prompts, vm.PromptCount{Runner: q.Runner.ID, Tokens: q.Tokens})
		if x.reserved.asked == nil {
			x.reserved.asked = make(map[string]askedOwner)
		}
		x.reserved.asked[q.Runner.ID] = askedOwner{owner, id}
	}
	return calls
}

// recordAnswer records that an owner has answered in time. One that answers late is asked less often, like one that does not.
func (g *Gateway) recordAnswer(owner string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reservations.backoffs.RecordAnswer(owner)
}

// callReserve calls an owner, and returns nil if that fails.
func (g *Gateway) callReserve(ctx context.Context, owner string, q *vm.ReserveRequest) *vm.ReserveResponse {
	response, err := callPooled[vm.ReserveRequest, vm.ReserveResponse](
		ctx, g.peers, owner, vm.CallReserve, q, reservationCallTimeout,
	)
	if err == nil {
		return response
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if rpc.IsUnknownCall(err) {
		g.reservations.backoffs.RecordUnknownCall(clock.Now(), owner)
	} else {
		g.reservations.backoffs.RecordFailure(clock.Now(), owner)
	}
	return nil
}

// observe applies an owner's answer, and returns its runners.
func (g *Gateway) observe(now time.Time, response *vm.ReserveResponse) []string {
	var runners []string
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range response.Runners {
		g.scheduler.Observe(now, r.Runner, r.Tokens, r.Counted)
		runners = append(runners, r.Runner)
	}
	return runners
}

// keepReservation ends the reservations of a request that was chosen an endpoint, except for the one there. If none was asked for,
// as for a request that has been deferred since, the owner is told of the prompt without a wait for its answer.
func (x *exchange) keepReservation(choice dispatch.Choice) {
	if x.reserved.askedAt.IsZero() {
		return
	}
	runner := choice.Runner.ID
	if len(x.reserved.answered) > 0 && !slices.Contains(x.reserved.near, runner) {
		reservationRecords.Add("moved", 1)
	}
	x.reserved.answered, x.reserved.near = nil, nil
	now := clock.Now()
	x.releaseExcept(now, runner)
	if _, asked := x.reserved.asked[runner]; asked || x.machine.MayHaveRun() {
		return
	}
	x.gateway.mu.Lock()
	tokens := int(float64(choice.PrefillTokens) * x.gateway.scheduler.Slowdown(x.request.Unit.Model))
	x.gateway.mu.Unlock()
	for owner, q := range x.reserveCalls(now, []dispatch.Question{{Runner: choice.Runner, Tokens: tokens}}) {
		if owner == x.gateway.settings.Name {
			x.gateway.serveReserve(now, q)
			continue
		}
		x.gateway.tasks.Run("reserve prompt", func(ctx context.Context) { x.gateway.callReserve(ctx, owner, q) })
	}
}

// releasePrompt ends the reservations of a request whose prompt does not await prefill any more.
func (x *exchange) releasePrompt() { x.releaseExcept(clock.Now(), "") }

// releaseExcept ends the reservations of a request at all runners but one.
func (x *exchange) releaseExcept(now time.Time, kept string) {
	if len(x.reserved.asked) == 0 {
		return
	}
	g := x.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	for runner, owner := range x.reserved.asked {
		if runner != kept {
			delete(x.reserved.asked, runner)
			g.queueRelease(now, owner.vm, vm.Release{Runner: runner, ID: owner.id})
		}
	}
}

// queueRelease ends a reservation here, or has it ended at another VM. The caller must hold the lock.
func (g *Gateway) queueRelease(now time.Time, owner string, release vm.Release) {
	if owner == g.settings.Name {
		g.reservations.table.Release(now, release.Runner, reservations.Key{VM: owner, Incarnation: g.incarnation, ID: release.ID})
		return
	}
	queued, sending := g.reservations.releases[owner]
	if len(queued) < maxQueuedReleases {
		g.reservations.releases[owner] = append(queued, release)
	}
	if !sending {
		g.tasks.Run("release prompts", func(ctx context.Context) { g.sendReleases(ctx, owner) })
	}
}

// sendReleases sends the releases for an owner until there are none.
func (g *Gateway) sendReleases(ctx context.Context, owner string) {
	for group.Sleep(ctx, releaseInterval) {
		g.mu.Lock()
		due := g.reservations.releases[owner]
		if len(due) == 0 {
			delete(g.reservations.releases, owner)
			g.mu.Unlock()
			return
		}
		g.reservations.releases[owner] = nil
		g.mu.Unlock()
		q := &vm.ReleaseRequest{VM: g.settings.Name, Incarnation: g.incarnation, Releases: due}
		_, err := callPooled[vm.ReleaseRequest, vm.ReleaseResponse](
			ctx, g.peers, owner, vm.CallRelease, q, reservationCallTimeout,
		)
		if err != nil {
			// The owner ends the reservations by itself.
			reservationRecords.Add("releasesLost", int64(len(due)))
		}
	}
}

// serveReserve reserves a prompt at those of the runners that this VM owns.
func (g *Gateway) serveReserve(now time.Time, q *vm.ReserveRequest) *vm.ReserveResponse {
	response := &vm.ReserveResponse{}
	key := reservations.Key{VM: q.VM, Incarnation: q.Incarnation, ID: q.ID}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range q.Prompts {
		owned := g.ownedRunners[p.Runner]
		if owned == nil || g.owners.Owner(p.Runner) != g.settings.Name {
			continue
		}
		pending := g.reservations.table.Reserve(now, p.Runner, reservations.Reservation{Key: key, Level: q.Level, Tokens: p.Tokens})
		response.Runners = append(response.Runners, vm.PendingPrompts{
			Runner: p.Runner, Tokens: pending, Counted: now.Sub(owned.ownedSince),
		})
	}
	return response
}

// serveRelease ends reservations at runners that this VM owns.
func (g *Gateway) serveRelease(now time.Time, q *vm.ReleaseRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range q.Releases {
		if g.ownedRunners[r.Runner] != nil {
			g.reservations.table.Release(now, r.Runner, reservations.Key{VM: q.VM, Incarnation: q.Incarnation, ID: r.ID})
		}
	}
}
