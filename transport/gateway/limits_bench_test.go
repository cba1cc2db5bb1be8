package gateway

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// BenchmarkPermit measures a request for a permit to the aggregator over a connection, with the work on both sides.
func BenchmarkPermit(b *testing.B) {
	tasks, err := group.New(context.Background())
	assert.NilError(b, err)
	defer func() { _ = tasks.Stop() }()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	var gateways []*Gateway
	for _, name := range []string{"vm-1", "vm-2"} {
		g := New(clock.Now(), settings.Gateway{Name: name, Domain: "a"}, eventlog.New(io.Discard, logrus.ErrorLevel, name, "a"))
		for _, member := range []string{"vm-1", "vm-2"} {
			g.addMember(member, memberValue{Address: address, Domain: "a"})
			g.peers.setAddress(member, address)
		}
		gateways = append(gateways, g)
	}
	gateways[0].peerHandlers().Start(tasks, listener)
	for b.Loop() {
		response, err := gateways[1].requestPermit(b.Context(), vm.PermitRequest{Runner: "r", PerSecond: 1, Within: time.Second})
		if err != nil || response.Wait < 0 {
			b.Fatal(response, err)
		}
	}
}
