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

const claimTickInterval = 100 * time.Millisecond

// claimSlots holds the slots that have operations, and the channels on which callers wait for replies.
type claimSlots struct {
	mu    sync.Mutex
	slots map[int]*claims.Slot
	// replyChannels holds a channel for the reply of each operation, by operation ID.
	replyChannels map[uint64]chan claims.Reply
	lastID        atomic.Uint64
}

func newClaimSlots() *claimSlots {
	return &claimSlots{slots: make(map[int]*claims.Slot), replyChannels: make(map[uint64]chan claims.Reply)}
}

// tickClaims sends ticks to the slots, so that they retry failed calls and expire operations.
func (c *Control) tickClaims(ctx context.Context) error {
	return group.Every(ctx, claimTickInterval, func(time.Time) {
		for _, slot := range c.claims.busySlots() {
			c.stepSlot(slot, claims.Tick{})
		}
	})
}

// busySlots removes the idle slots and returns the numbers of the others.
func (s *claimSlots) busySlots() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := make([]int, 0, len(s.slots))
	for number, slot := range s.slots {
		if slot.Idle() {
			delete(s.slots, number)
			continue
		}
		slots = append(slots, number)
	}
	return slots
}

func (c *Control) stepSlot(number int, event claims.Event) {
	s := c.claims
	s.mu.Lock()
	slot := s.slots[number]
	if slot == nil {
		slot = claims.NewSlot()
		s.slots[number] = slot
	}
	actions := slot.Step(time.Now(), event)
	s.deliver(actions)
	s.mu.Unlock()
	for _, action := range actions {
		if _, ok := action.(claims.Respond); ok {
			continue
		}
		c.group.Run("claim commit", func(ctx context.Context) {
			c.stepSlot(number, c.performClaimAction(ctx, number, action))
		})
	}
}

// deliver sends the replies to the callers that wait for them. The caller of deliver holds the lock.
func (s *claimSlots) deliver(actions []claims.Action) {
	for _, action := range actions {
		replied, ok := action.(claims.Respond)
		if !ok {
			continue
		}
		if channel := s.replyChannels[replied.Reply.ID]; channel != nil {
			channel <- replied.Reply
			delete(s.replyChannels, replied.Reply.ID)
		}
	}
}

func (c *Control) performClaimAction(ctx context.Context, number int, action claims.Action) claims.Event {
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

// submit passes an operation to its slot and waits for the reply.
func (c *Control) submit(ctx context.Context, operation claims.Operation) claims.Reply {
	operation.ID = c.claims.lastID.Add(1)
	reply := make(chan claims.Reply, 1)
	c.claims.mu.Lock()
	c.claims.replyChannels[operation.ID] = reply
	c.claims.mu.Unlock()
	slot := claims.SlotOf(operation.Key)
	operation.Key = hashKey(operation.Key)
	c.stepSlot(slot, claims.Submitted{Operation: operation})
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		c.claims.removeReplyChannel(operation.ID)
		return claims.Reply{Status: claims.Unavailable}
	}
}

// removeReplyChannel removes the reply channel of an operation whose caller no longer waits.
func (s *claimSlots) removeReplyChannel(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.replyChannels, id)
}

// hashKey shortens a key to two 64-bit hashes, which make a collision improbable.
func hashKey(key string) string {
	const base = 16
	first := xxhash.Sum64String(key)
	second := xxhash.Sum64String("second\x00" + key)
	return strconv.FormatUint(first, base) + strconv.FormatUint(second, base)
}

func (c *Control) handleClaim(ctx context.Context, request *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	reply := c.submit(ctx, claims.Operation{
		Key:         request.Key,
		RequestID:   request.RequestID,
		Fingerprint: request.Fingerprint,
		Lifetime:    request.Lifetime,
	})
	return &peer.ClaimResponse{Status: reply.Status, Answer: reply.Answer}, nil
}

func (c *Control) handleSettle(ctx context.Context, request *peer.SettleRequest) (*peer.SettleResponse, error) {
	c.submit(ctx, claims.Operation{
		Key:       request.Key,
		RequestID: request.RequestID,
		Settle:    true,
		Outcome:   request.Outcome,
		Answer:    request.Answer,
	})
	return &peer.SettleResponse{}, nil
}
