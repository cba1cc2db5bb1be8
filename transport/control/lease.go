package control

import (
	"context"
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/lease"
	"github.com/zinniaroute/zinniaroute/eventlog"
)

const (
	leasePrefix       = "zinniaroute/lease/"
	leaseTickInterval = 200 * time.Millisecond
	// candidatesPerDomain is the number of VMs of a failure domain that try to acquire its controller lease.
	candidatesPerDomain = 3
	// leaseCandidateRole is the key by which the VMs are ranked as candidates.
	leaseCandidateRole = "controller"
)

// runCandidate runs the state machine by which the VM acquires and renews the controller lease of its failure domain.
func (c *Control) runCandidate(ctx context.Context) error {
	ticker := time.NewTicker(leaseTickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-c.leaseEvents.Items():
			c.stepLease(event)
		case <-ticker.C:
			c.tickLease()
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Control) tickLease() {
	power, _ := c.leasePower()
	if power == lease.PowerNone && !c.hasRole(leaseCandidateRole, candidatesPerDomain) {
		return
	}
	if c.stopping.Load() {
		c.stepLease(lease.StopRequested{})
		return
	}
	c.stepLease(lease.Tick{})
}

func (c *Control) leasePower() (lease.Power, uint64) {
	c.leaseMu.Lock()
	defer c.leaseMu.Unlock()
	return c.lease.Power(time.Now())
}

func (c *Control) stepLease(event lease.Event) {
	now := time.Now()
	c.leaseMu.Lock()
	actions := c.lease.Step(now, event)
	power, term := c.lease.Power(now)
	c.leaseMu.Unlock()
	for _, action := range actions {
		c.group.Run("lease call", func(ctx context.Context) { c.performLeaseAction(ctx, action) })
	}
	c.recordLease(power, term)
}

func (c *Control) recordLease(power lease.Power, term uint64) {
	c.term.Store(term)
	if c.loggedPower == power && c.loggedTerm == term {
		return
	}
	c.loggedPower, c.loggedTerm = power, term
	c.log.Emit(eventlog.LeaseChanged, string(power), term)
}

func (c *Control) leaseKey() string { return leasePrefix + c.settings.Process.Domain }

func (c *Control) performLeaseAction(ctx context.Context, action lease.Action) {
	var event lease.Event
	switch a := action.(type) {
	case lease.Read:
		event = c.readLease(ctx)
	case lease.Swap:
		event = c.swapLease(ctx, a)
	}
	_ = c.leaseEvents.Put(ctx, event)
}

func (c *Control) readLease(ctx context.Context) lease.Event {
	requestedAt := time.Now()
	entry, err := c.store.Get(ctx, c.leaseKey())
	if err != nil {
		return lease.ReadFailed{}
	}
	observed := lease.Observed{Index: entry.Index, RequestedAt: requestedAt}
	if entry.Index == 0 {
		return observed
	}
	record, err := lease.Decode(entry.Value)
	if err != nil {
		return lease.ReadFailed{}
	}
	observed.Record = record
	return observed
}

func (c *Control) swapLease(ctx context.Context, swap lease.Swap) lease.Event {
	value, err := swap.Record.Encode()
	if err != nil {
		return lease.ReadFailed{}
	}
	outcome, _ := c.store.CompareAndSwap(ctx, c.leaseKey(), value, swap.Expected)
	return lease.Swapped{Outcome: outcome}
}
