package gateway

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/coordination/ownership"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/reservations"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/rpc"
)

// newAsker returns a VM with reservations that knows up to four runners of a service with an engine. The VM "owner" owns r0 and r1,
// and the asker the others, at which other VMs have reserved 2,000 tokens. By the summary, 8,000 await prefill at each runner.
func newAsker(t *testing.T, name string, runners int) *Gateway {
	v := &simulatedVM{name: name}
	now := clock.Now()
	v.startWith(now, settings.Gateway{PrefillReservations: true})
	g := v.gateway
	tasks, err := group.New(t.Context())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, tasks.Stop()) })
	// A busy machine answers later than questionTimeout allows.
	g.tasks, g.reservations.timeout = tasks, 5*time.Second
	g.table.Store(&routes.Table{Services: map[string]*routes.Service{"models": {Name: "models", Engine: &routes.Engine{}}}})
	for i, owner := range []string{"owner", "owner", name, name}[:runners] {
		id := fmt.Sprint("r", i)
		g.directory.Put(now, fleet.Runner{
			ID: id, Service: "models", Domain: "a", Holdings: fleet.Holdings{Models: []fleet.LoadedModel{{Model: "large"}}},
		})
		g.owners.SetClaim(now, id, ownership.Claim{VM: owner, Revision: 1})
		if owner == name {
			g.ownedRunners[id] = &ownedRunner{ownedSince: now.Add(-time.Minute)}
		}
		if i >= 2 {
			key := reservations.Key{VM: "other", ID: 1}
			g.reservations.table.Reserve(now, id, reservations.Reservation{Key: key, Tokens: 2_000})
		}
		g.scheduler.SetOtherLoad(now, id, dispatch.EndpointLoad{PendingPrefillTokens: [9]int{8_000}})
	}
	return g
}

// serveOwner serves calls of an owner on loopback.
func serveOwner(t *testing.T, asker *Gateway, mux *rpc.Mux) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux.Start(asker.tasks, listener)
	asker.peers.setAddress("owner", netip.MustParseAddrPort(listener.Addr().String()))
}

func newPrompt(g *Gateway, id string) *exchange {
	now := clock.Now()
	return &exchange{
		gateway: g, service: "models", route: &routes.Route{Kind: routes.Stream}, machine: lifecycle.New(lifecycle.Limits{}, nil),
		request: fleet.Request{
			ID: id, Kind: routes.Stream, Unit: fleet.Unit{Model: "large"}, ArrivedAt: now, Deadline: now.Add(time.Minute),
			TargetLatency: 20 * time.Second, PromptTokens: 9000,
		},
	}
}

func choose(t *testing.T, x *exchange) (string, time.Duration) {
	startedAt := clock.Now()
	choice, refusal := x.gateway.chooseEndpoint(t.Context(), x)
	assert.Assert(t, refusal == nil)
	return choice.Runner.ID, clock.Now().Sub(startedAt)
}

func reservedAt(g *Gateway, runner string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reservations.table.Len(clock.Now(), runner)
}

// Guards against a request that is not sent in time, or not at all, because an owner does not answer as it should.
func TestOwnersThatFailDoNotDelayPrompts(t *testing.T) {
	answer := func(tokens int, counted time.Duration) func(context.Context, *vm.ReserveRequest) (*vm.ReserveResponse, error) {
		return func(_ context.Context, q *vm.ReserveRequest) (*vm.ReserveResponse, error) {
			response := &vm.ReserveResponse{}
			for _, p := range q.Prompts {
				response.Runners = append(response.Runners, vm.PendingPrompts{Runner: p.Runner, Tokens: []int{tokens}, Counted: counted})
			}
			return response, nil
		}
	}
	slow := func(ctx context.Context, q *vm.ReserveRequest) (*vm.ReserveResponse, error) {
		group.Sleep(ctx, 150*time.Millisecond)
		return answer(0, time.Minute)(ctx, q)
	}
	changed := func(context.Context, *vm.ReserveRequest) (*vm.ReserveResponse, error) {
		return &vm.ReserveResponse{}, nil
	}
	limitTime := func(_ *testing.T, g *Gateway) { g.reservations.timeout = questionTimeout }
	setAddress := func(address string) func(*testing.T, *Gateway) {
		return func(_ *testing.T, g *Gateway) { g.peers.setAddress("owner", netip.MustParseAddrPort(address)) }
	}
	tests := []struct {
		name string
		// answer is how the owner answers, or nil if its build does not know the call.
		answer func(context.Context, *vm.ReserveRequest) (*vm.ReserveResponse, error)
		start  func(t *testing.T, g *Gateway)
		// toOwner reports that the first prompt goes to a runner of the owner, which has less to do if it says so.
		toOwner bool
		// least and most are the numbers of questions that five prompts in a row ask the owner.
		least, most int32
	}{
		{"free", answer(0, time.Minute), nil, true, 5, 15},
		{"busy", answer(9_000, time.Minute), nil, false, 5, 15},
		{"restarted", answer(0, time.Millisecond), nil, false, 5, 15},
		{"not the owner any more", changed, nil, false, 5, 15},
		{"slow", slow, limitTime, false, 1, 4},
		{"of an earlier build", nil, nil, false, 0, 0},
		{"dead", nil, setAddress("127.0.0.1:1"), false, 0, 0},
		{"unknown", nil, func(_ *testing.T, g *Gateway) { g.peers.byName = make(map[string]*peer) }, false, 0, 0},
		{"in backoff", answer(0, time.Minute), func(_ *testing.T, g *Gateway) {
			g.peers.setBackoff("owner", clock.Now().Add(time.Minute))
		}, false, 0, 0},
		{"partitioned", nil, func(t *testing.T, g *Gateway) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { assert.NilError(t, listener.Close()) })
			setAddress(listener.Addr().String())(t, g)
			limitTime(t, g)
		}, false, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newAsker(t, "asker", 4)
			mux, calls := rpc.NewMux(), atomic.Int32{}
			if test.answer != nil {
				rpc.Handle(mux, vm.CallReserve, func(ctx context.Context, q *vm.ReserveRequest) (*vm.ReserveResponse, error) {
					calls.Add(1)
					return test.answer(ctx, q)
				})
			}
			serveOwner(t, g, mux)
			if test.start != nil {
				test.start(t, g)
			}
			for i := range 5 {
				if test.name == "slow" && i == 4 {
					// The first backoff is over, and the late answer has arrived.
					group.Sleep(t.Context(), 250*time.Millisecond)
				}
				x := newPrompt(g, fmt.Sprint(i))
				runner, took := choose(t, x)
				// Questions end after 20 ms; the rest is for a busy machine.
				assert.Check(t, took < 140*time.Millisecond, "prompt %d was chosen a runner after %v", i, took)
				if i == 0 {
					assert.Equal(t, runner == "r0" || runner == "r1", test.toOwner, runner)
				}
				x.releasePrompt()
			}
			assert.Check(t, calls.Load() >= test.least && calls.Load() <= test.most, "%d calls", calls.Load())
			if test.name == "slow" {
				assert.Check(t, !g.reservations.backoffs.MayAsk(clock.Now().Add(120*time.Millisecond), "owner"), "its late answer counts as one in time")
			}
			if test.answer == nil && test.start == nil {
				assert.Check(t, !g.reservations.backoffs.MayAsk(clock.Now().Add(5*time.Second), "owner"), "it does not learn the call soon")
			}
			assert.Equal(t, reservedAt(g, "r2")+reservedAt(g, "r3"), 2, "the reservations of the other VM")
		})
	}
}

// Guards against prompts of two VMs that go to the same runner, and against reservations that outlast their prompt at its owner.
func TestPromptsOfTwoVMsAreReservedAtTheOwner(t *testing.T) {
	owner, asker := newAsker(t, "owner", 2), newAsker(t, "asker", 2)
	serveOwner(t, asker, owner.peerHandlers())
	first := newPrompt(asker, "a")
	taken, _ := choose(t, first)
	assert.Equal(t, reservedAt(owner, taken), 1)
	second := newPrompt(owner, "b")
	other, _ := choose(t, second)
	assert.Check(t, other != taken, "the owner knows of the prompt at %s", taken)
	first.releasePrompt()
	second.releasePrompt()
	for _, id := range []string{"r0", "r1"} {
		for reservedAt(owner, id) > 0 {
			assert.Assert(t, clock.Now().Sub(first.request.ArrivedAt) < 2*time.Second, "%d reservations at %s", reservedAt(owner, id), id)
			group.Sleep(t.Context(), time.Millisecond)
		}
	}
}

// Guards against a prompt that waits and keeps those of other VMs from a runner, and against one that is not counted since its
// reservation was released while it waited.
func TestDeferredPromptIsReservedOnlyOnceItIsSent(t *testing.T) {
	g := newAsker(t, "owner", 1)
	other := reservations.Key{VM: "other", ID: 1}
	reserve := func(key reservations.Key, tokens int) []int {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.reservations.table.Reserve(clock.Now(), "r0", reservations.Reservation{Key: key, Tokens: tokens})
	}
	reserve(other, 500_000)
	x := newPrompt(g, "a")
	chosen := make(chan bool, 1)
	g.tasks.Run("choose", func(ctx context.Context) {
		_, refusal := g.chooseEndpoint(ctx, x)
		chosen <- refusal == nil
	})
	lastID := func() uint64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.reservations.lastID
	}
	for lastID() < 2 {
		assert.Assert(t, clock.Now().Sub(x.request.ArrivedAt) < 2*time.Second, "the prompt that waits does not ask again")
		group.Sleep(t.Context(), time.Millisecond)
	}
	for reservedAt(g, "r0") > 1 {
		assert.Assert(t, clock.Now().Sub(x.request.ArrivedAt) < 2*time.Second, "the prompt that waits stays reserved")
		group.Sleep(t.Context(), time.Millisecond)
	}
	g.mu.Lock()
	g.reservations.table.Release(clock.Now(), "r0", other)
	g.mu.Unlock()
	assert.Check(t, <-chosen)
	assert.DeepEqual(t, reserve(reservations.Key{VM: "reader"}, 0), []int{9000})
	x.releasePrompt()
	assert.DeepEqual(t, reserve(reservations.Key{VM: "reader"}, 0), []int{})
	// A choice between two questions is told to the owner.
	x.keepReservation(dispatch.Choice{Runner: g.directory.Get("r0"), PrefillTokens: 8000})
	assert.DeepEqual(t, reserve(reservations.Key{VM: "reader"}, 0), []int{8000})
}

// Only streams of services with an engine ask, and only if the settings say so, the request cannot have run, and it is not
// another VM's.
func TestRequestsThatDoNotAsk(t *testing.T) {
	tests := []struct {
		name   string
		change func(g *Gateway, x *exchange)
		want   bool
	}{
		{"stream", func(*Gateway, *exchange) {}, true},
		{"no setting", func(g *Gateway, _ *exchange) { g.settings.PrefillReservations = false }, false},
		{"plain route", func(_ *Gateway, x *exchange) { x.route = &routes.Route{Kind: routes.Safe} }, false},
		{"no engine", func(g *Gateway, _ *exchange) { g.table.Store(&routes.Table{}) }, false},
		{"forwarded", func(_ *Gateway, x *exchange) { x.forwarded = true }, false},
		{"asked before", func(_ *Gateway, x *exchange) { x.reserved.askedAt = clock.Now() }, false},
		{"too many questions", func(g *Gateway, _ *exchange) { g.reservations.questions = maxQuestions }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newAsker(t, "asker", 4)
			x := newPrompt(g, "a")
			test.change(g, x)
			assert.Equal(t, g.newWait(t.Context(), x).beginQuestion(clock.Now()), test.want)
		})
	}
}

// Guards against several connections to each peer, which doubled the memory of a VM.
func TestConnectionUsedLastIsUsedFirst(t *testing.T) {
	pool := newClientPool(netip.MustParseAddrPort("127.0.0.1:1"))
	now := clock.Now()
	first, err := pool.take(t.Context())
	assert.NilError(t, err)
	pool.put(now, first)
	for range 3 {
		again, err := pool.take(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, again, first)
		pool.put(now, again)
	}
	for range poolSize {
		_, err = pool.take(t.Context())
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err = pool.take(ctx)
	assert.ErrorContains(t, err, "deadline")
}
