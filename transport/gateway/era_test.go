package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/coordination/relay"
	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

// A process starts while the store returns from an older copy, and asks for the content, or for a view of it, before the return.
func TestWaitForTheOwnersOfAnEarlierEraBeginsBeforeTheReturn(t *testing.T) {
	content := []platform.Item{{Key: settledEraKey, Value: []byte("1"), Revision: fleet.NewRevision(2, 7)}}
	tests := []struct {
		name  string
		apply func(g *Gateway, asOf, now time.Time)
	}{
		{"listing", func(g *Gateway, asOf, now time.Time) {
			assert.NilError(t, g.applyStoreListing(asOf, now, content, fleet.NewRevision(2, 9)))
		}},
		{"view", func(g *Gateway, asOf, now time.Time) {
			g.applyView(asOf.Add(time.Second), now, &relay.View{
				Revision: fleet.NewRevision(2, 9), Full: true, Age: time.Second,
				Items: []relay.Item{{Key: settledEraKey, Value: []byte("1"), Revision: fleet.NewRevision(2, 7)}},
			}, 0)
		}},
	}
	for _, test := range tests {
		now := time.Unix(1_000_000, 0)
		g := startVM(now, "vm-1")
		test.apply(g, now.Add(-4*time.Second), now)
		wait := orderValidity + g.bounds().OwnerChangePause.Duration
		assert.Check(t, !g.owners.EraSettled(now.Add(wait-time.Millisecond)), test.name)
		assert.Check(t, g.owners.EraSettled(now.Add(wait)), test.name)
	}
}

// A process that starts in an unsettled era does not know of loads whose permits the store has lost.
func TestLoadsBeginBesideThoseOfAnEarlierEra(t *testing.T) {
	for _, settled := range []bool{false, true} {
		store, address := startStore(t)
		store.Put(settledEraKey, []byte("1"))
		store.ReturnFrom(store.Copy())
		if settled {
			store.Put(settledEraKey, []byte("2"))
		}
		s := settings.Gateway{Store: address}
		s.Bounds.LoadWindow = document.NewDuration(10 * time.Second)
		v := &simulatedVM{name: "vm-1"}
		now := clock.Now()
		v.startWith(now, s)
		g := v.gateway
		items, revision, err := g.store.List(t.Context(), "")
		assert.NilError(t, err)
		assert.NilError(t, g.applyStoreListing(now, now, items, revision))
		assert.Equal(t, g.takeLoadPermit(t.Context(), "models", 1), settled)
	}
}

// Eras count from 0. A process that starts after the first return must find that era 0 was the settled one.
func TestFirstReturnGoesUnnoticedByAProcessThatStartsAfterIt(t *testing.T) {
	store, address := startStore(t)
	store.SetEra(0)
	store.Put(membersPrefix+"vm-1", []byte(`{"address":"127.0.0.1:1"}`))
	start := func() *Gateway {
		v := &simulatedVM{name: "vm-1"}
		now := clock.Now()
		v.startWith(now, settings.Gateway{Store: address})
		items, revision, err := v.gateway.store.List(t.Context(), "")
		assert.NilError(t, err)
		assert.NilError(t, v.gateway.applyStoreListing(now, now, items, revision))
		return v.gateway
	}
	first := start()
	assert.Assert(t, first.owners.EraSettled(clock.Now()), "the first process of a deployment waits")
	first.markEraSettled(t.Context())
	earlier := store.Copy()
	store.Put(ownersPrefix+"r1", []byte(`{"vm":"vm-2","incarnation":"i-2","settled":true}`))
	store.ReturnFrom(earlier)
	assert.Check(t, !start().owners.EraSettled(clock.Now()), "it claims runners as free whose claims the store has lost")
}
