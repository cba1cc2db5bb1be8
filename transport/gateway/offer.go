package gateway

import (
	"context"
	"time"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

const (
	// silentMemberAge is the time since a member's last report after which the aggregator offers it the store's content.
	silentMemberAge = time.Second
	// offerInterval is the shortest time between two offers to one member, and maxOffersAtOnce bounds those that are made at
	// once.
	offerInterval   = 500 * time.Millisecond
	maxOffersAtOnce = 8
	// offerTimeout bounds each of the two calls of an offer.
	offerTimeout = time.Second
	// maxOfferedAge is the age up to which the store's content is offered. It exceeds outages of the store.
	maxOfferedAge = 10 * time.Minute
)

// offerContent offers the store's content to members that do not report. One that has started again while the store is away
// from it has no configuration, and does not know any peer.
func (g *Gateway) offerContent(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range g.candidates() {
		if name == g.settings.Name || g.offersInFlight >= maxOffersAtOnce ||
			now.Sub(g.reports.ReceivedAt(name)) < silentMemberAge+g.reportDelay() || now.Sub(g.offeredAt[name]) < offerInterval {
			continue
		}
		g.offeredAt[name] = now
		g.offersInFlight++
		g.tasks.Run("offer content", func(ctx context.Context) { g.offerTo(ctx, name) })
	}
}

func (g *Gateway) offerTo(ctx context.Context, name string) {
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.offersInFlight--
	}()
	asked, err := callPooled[vm.Offer, vm.OfferResponse](ctx, g.peers, name, vm.CallOffer, &vm.Offer{}, offerTimeout)
	if err != nil || !asked.Needed {
		return
	}
	now := clock.Now()
	g.mu.Lock()
	view, ok := g.storeLog.Content(now, maxOfferedAge)
	if ok {
		g.storeLog.Pack(&view)
	}
	g.mu.Unlock()
	if !ok {
		return
	}
	offer := &vm.Offer{View: &view}
	if _, err := callPooled[vm.Offer, vm.OfferResponse](ctx, g.peers, name, vm.CallOffer, offer, offerTimeout); err != nil {
		g.log.Emit(eventlog.PeerUnreachable, name, err)
	}
}

// serveOffer applies the content that another VM offers, if this VM has no configuration.
func (g *Gateway) serveOffer(now time.Time, offer *vm.Offer) *vm.OfferResponse {
	if g.table.Load() != nil {
		return &vm.OfferResponse{}
	}
	if offer.View == nil {
		return &vm.OfferResponse{Needed: true}
	}
	g.applyView(now, now, offer.View, fleet.EntryReturnGrace)
	g.mu.Lock()
	defer g.mu.Unlock()
	// The content is as old as the outage, so this VM goes on trying to read the store.
	g.lastViewAt = time.Time{}
	g.log.Emit(eventlog.ContentReceived, offer.View.Revision.String(), offer.View.Age.Milliseconds())
	return &vm.OfferResponse{}
}
