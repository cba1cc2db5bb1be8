package control

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaroute/zinniaroute/coordination/claims"
	"github.com/zinniaroute/zinniaroute/coordination/keyvalue"
	"github.com/zinniaroute/zinniaroute/protocol/peer"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

const claimTick = 100 * time.Millisecond

// claimDesk holds the slots that have operations, and the channels on which callers wait for replies.
type claimDesk struct {
	mu    sync.Mutex
	slots map[int]*claims.Slot
	// waiting holds a channel for the reply of each operation, by operation ID.
	waiting map[uint64]chan claims.Reply
	next    atomic.Uint64
}

func newClaimDesk() *claimDesk {
	return &claimDesk{slots: make(map[int]*claims.Slot), waiting: make(map[uint64]chan claims.Reply)}
}

// commitClaims sends ticks to the slots, so that they retry failed calls and expire operations.
func (c *Control) commitClaims(ctx context.Context) error {
	return group.Every(ctx, claimTick, func(time.Time) {
		for _, slot := range c.claims.busySlots() {
			c.stepSlot(slot, claims.Tick{})
		}
	})
}

// busySlots removes the idle slots and returns the numbers of the others.
func (d *claimDesk) busySlots() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	slots := make([]int, 0, len(d.slots))
	for number, slot := range d.slots {
		if slot.Idle() {
			delete(d.slots, number)
			continue
		}
		slots = append(slots, number)
	}
	return slots
}

func (c *Control) stepSlot(number int, event claims.Event) {
	d := c.claims
	d.mu.Lock()
	slot := d.slots[number]
	if slot == nil {
		slot = claims.NewSlot()
		d.slots[number] = slot
	}
	actions := slot.Step(time.Now(), event)
	d.deliver(actions)
	d.mu.Unlock()
	for _, action := range actions {
		if _, ok := action.(claims.Respond); ok {
			continue
		}
		c.group.Run("claim commit", func(ctx context.Context) { c.stepSlot(number, c.performClaim(ctx, number, action)) })
	}
}

// deliver sends the replies to the callers that wait for them. The caller of deliver holds the lock.
func (d *claimDesk) deliver(actions []claims.Action) {
	for _, action := range actions {
		replied, ok := action.(claims.Respond)
		if !ok {
			continue
		}
		if waiting := d.waiting[replied.Reply.ID]; waiting != nil {
			waiting <- replied.Reply
			delete(d.waiting, replied.Reply.ID)
		}
	}
}

func (c *Control) performClaim(ctx context.Context, number int, action claims.Action) claims.Event {
	key := claims.SlotKey(number)
	if swap, ok := action.(claims.Swap); ok {
		outcome, _ := c.store.CompareAndSwap(ctx, key, swap.Value, swap.Expected)
		return claims.SwapDone{Outcome: outcome}
	}
	entry, err := c.store.Get(ctx, key)
	if err != nil {
		entry = keyvalue.Entry{}
	}
	return claims.ReadDone{Entry: entry, Failed: err != nil}
}

// ask submits an operation to its slot and waits for the reply.
func (c *Control) ask(ctx context.Context, operation claims.Operation) claims.Reply {
	operation.ID = c.claims.next.Add(1)
	reply := make(chan claims.Reply, 1)
	c.claims.mu.Lock()
	c.claims.waiting[operation.ID] = reply
	c.claims.mu.Unlock()
	slot := claims.SlotOf(operation.Key)
	operation.Key = hashKey(operation.Key)
	c.stepSlot(slot, claims.Submitted{Operation: operation})
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		c.claims.forget(operation.ID)
		return claims.Reply{Status: claims.Unavailable}
	}
}

// forget removes the reply channel of an operation whose caller no longer waits.
func (d *claimDesk) forget(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, id)
}

// hashKey shortens a key to two 64-bit hashes, which make a collision improbable.
func hashKey(key string) string {
	const base = 16
	first := xxhash.Sum64String(key)
	second := xxhash.Sum64String("second\x00" + key)
	return strconv.FormatUint(first, base) + strconv.FormatUint(second, base)
}

func (c *Control) answerClaim(ctx context.Context, request *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	reply := c.ask(ctx, claims.Operation{
		Key:         request.Key,
		RequestID:   request.RequestID,
		Fingerprint: request.Fingerprint,
		Lifetime:    request.Lifetime,
	})
	return &peer.ClaimResponse{Status: reply.Status, Answer: reply.Answer}, nil
}

func (c *Control) answerSettle(ctx context.Context, request *peer.SettleRequest) (*peer.SettleResponse, error) {
	c.ask(ctx, claims.Operation{
		Key:       request.Key,
		RequestID: request.RequestID,
		Settle:    true,
		Outcome:   request.Outcome,
		Answer:    request.Answer,
	})
	return &peer.SettleResponse{}, nil
}
