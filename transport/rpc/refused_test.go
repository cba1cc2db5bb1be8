package rpc

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcwire"

	"github.com/zinniaroute/zinniaroute/transport/group"
)

// A VM that has refused a call sends a copy of the refusal before the next answer on the connection.
func TestCopyOfARefusedCallIsTakenForTheNextAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tasks, err := group.New(t.Context())
	assert.NilError(t, err)
	var opened, calls atomic.Int64
	tasks.Run("accept", func(ctx context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			refuseFirst(conn, &calls)
			stop()
			_ = conn.Close()
		}
	})
	client := NewClient(netip.MustParseAddrPort(listener.Addr().String()), nil)
	_, err = Call[number, number](t.Context(), client, "/call", &number{1}, time.Second)
	assert.ErrorContains(t, err, "refused")
	for range 2 {
		answer, err := Call[number, number](t.Context(), client, "/call", &number{2}, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, answer.Value, 2)
	}
	assert.Equal(t, opened.Load(), int64(2), "connections")
	client.Close()
	assert.Check(t, listener.Close())
	assert.NilError(t, tasks.Stop())
}

// refuseFirst refuses the first call and returns the message of the others. On the connection of the first, a copy of the refusal
// comes before each further answer.
func refuseFirst(conn net.Conn, calls *atomic.Int64) {
	reader, writer := drpcwire.NewReader(conn), drpcwire.NewWriter(conn, 0)
	var refusal *drpcwire.Packet
	for {
		received, err := reader.ReadPacket()
		if err != nil {
			return
		}
		if received.Kind != drpcwire.KindMessage {
			continue
		}
		if refusal != nil {
			_ = writer.WritePacket(*refusal)
		}
		id := drpcwire.ID{Stream: received.ID.Stream, Message: 1}
		if calls.Add(1) == 1 {
			refusal = &drpcwire.Packet{ID: id, Kind: drpcwire.KindError, Data: append(make([]byte, 8), "refused"...)}
			_ = writer.WritePacket(*refusal)
		} else {
			_ = writer.WritePacket(drpcwire.Packet{ID: id, Kind: drpcwire.KindMessage, Data: received.Data})
		}
		_ = writer.Flush()
	}
}
