package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/keyvalue"
	"github.com/zinniaroute/zinniaroute/coordination/lease"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/state/ledger"
)

const intentPrefix = "zinniaroute/intents/"

// performActions starts the actions of a runner's ledger. The caller holds the controller's lock.
func (c *Control) performActions(name string, actions []ledger.Action) {
	runner := c.controller.runners[name]
	for _, action := range actions {
		c.group.Run("ledger action", func(ctx context.Context) {
			event := c.performAction(ctx, runner, action)
			_ = c.runnerEvents.Put(ctx, runnerEvent{runner: name, event: event})
		})
	}
}

func (c *Control) performAction(ctx context.Context, runner *catalog.Runner, action ledger.Action) ledger.Event {
	switch a := action.(type) {
	case ledger.SendOrder:
		return c.sendOrder(ctx, runner, a.Order)
	case ledger.ReadIndex:
		return c.readIndex(ctx, runner)
	case ledger.WriteIntents:
		return c.writeIntents(ctx, runner, a)
	case ledger.ReadIntents:
		return c.readIntents(ctx, runner)
	default:
		return ledger.Tick{}
	}
}

// sendOrder sends an order. It checks the authority again just before, because the lease may have expired since the
// ledger issued the order.
func (c *Control) sendOrder(ctx context.Context, runner *catalog.Runner, order ledger.Order) ledger.Event {
	if !c.authorized(runner) {
		return ledger.OrderAnswered{OrderID: order.ID, Result: ledger.Refused}
	}
	result, reason := c.engines.Send(ctx, runner.Address, order)
	if order.Verb != ledger.VerbFence || result != ledger.Confirmed {
		c.log.Emit(eventlog.OrderAnswered,
			runner.Name, order.ID, string(order.Verb), order.Item.Name, string(result), reason)
	}
	return ledger.OrderAnswered{OrderID: order.ID, Result: result}
}

func (c *Control) authorized(runner *catalog.Runner) bool {
	power, _ := c.leasePower()
	if runner.Fenced {
		return power != lease.PowerNone
	}
	return power == lease.PowerFull
}

func (c *Control) readIndex(ctx context.Context, runner *catalog.Runner) ledger.Event {
	requestedAt := time.Now()
	entries, incarnation, err := c.engines.Index(ctx, runner.Address)
	if err != nil {
		return ledger.IndexReadFailed{}
	}
	return ledger.IndexRead{Incarnation: incarnation, RequestedAt: requestedAt, Entries: entries}
}

func (c *Control) writeIntents(ctx context.Context, runner *catalog.Runner, write ledger.WriteIntents) ledger.Event {
	err := c.storeIntents(ctx, runner, write.Items)
	if err != nil {
		c.log.Emit(eventlog.IntentsNotStored, runner.Name, err)
	}
	return ledger.IntentsStored{Sequence: write.Sequence, Stored: err == nil}
}

// storeIntents replaces the stored intents of a runner. If the answer to the write is lost, it reads the value to see
// whether the write took effect.
func (c *Control) storeIntents(ctx context.Context, runner *catalog.Runner, items []ledger.Item) error {
	value, err := json.Marshal(items)
	if err != nil {
		return errors.Wrap(err, "encode intents")
	}
	key := intentPrefix + runner.Name
	entry, err := c.store.Get(ctx, key)
	if err != nil {
		return err
	}
	outcome, err := c.store.CompareAndSwap(ctx, key, value, entry.Index)
	switch outcome {
	case keyvalue.Applied:
		return nil
	case keyvalue.Unknown:
		stored, readErr := c.store.Get(ctx, key)
		if readErr == nil && string(stored.Value) == string(value) {
			return nil
		}
		return err
	default:
		return errors.Errorf("store intents: %s", outcome)
	}
}

func (c *Control) readIntents(ctx context.Context, runner *catalog.Runner) ledger.Event {
	entry, err := c.store.Get(ctx, intentPrefix+runner.Name)
	if err != nil {
		return ledger.IntentsReadFailed{}
	}
	var items []ledger.Item
	if entry.Index != 0 {
		if err := json.Unmarshal(entry.Value, &items); err != nil {
			return ledger.IntentsReadFailed{}
		}
	}
	return ledger.IntentsRead{Items: items}
}
