package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/coordination/dissemination"
	"github.com/zinniaroute/zinniaroute/coordination/relay"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/capacity"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
)

// A VM whose call to the aggregator of a large fleet times out reads the store itself. It must not take the time since the last
// view for an outage of the store, in which the entries of living runners may have expired.
func TestRunnerThatLeftIsUsedAfterTheAggregatorWasSlow(t *testing.T) {
	const members = 295
	now := time.Unix(1_000_000, 0)
	v := &simulatedVM{name: "vm-1"}
	v.start(now)
	g := v.gateway
	for i := range members {
		g.addMember(fmt.Sprint("vm-", i), memberValue{Domain: "a"})
	}
	entry := []byte(`{"service": "plain", "address": "10.0.0.9:8000", "zone": "a", "version": 1, "slots": 6, "state": "ready", "sequence": 0}`)
	key := platform.RunnersPrefix + "r1"
	view := relay.View{
		Revision: fleet.NewRevision(0, 10), Age: watchTimeout + watchInterval,
		Items: []relay.Item{{Key: key, Value: entry, Revision: fleet.NewRevision(0, 9)}},
	}
	g.applyView(now, now, &view, 0)
	assert.Assert(t, g.directory.Get("r1") != nil)

	now = now.Add(aggregationInterval + g.reportDelay()).Add(aggregationTimeout + g.reportDelay()/2).Add(storeReadCheckInterval)
	left := []platform.Item{{Key: key, Revision: fleet.NewRevision(0, 11), Deleted: true}}
	g.applyEvents(now, now, left, fleet.NewRevision(0, 11))
	assert.Check(t, g.directory.Get("r1") == nil, "the runner gets requests for %v after its entry was removed", g.entryGrace.Remaining(now))
}

// crashedRequests returns the records of requests that ran on three runners when these crashed.
func crashedRequests(now time.Time, count int) []quarantine.Crash {
	crashes := make([]quarantine.Crash, 0, count)
	for i := range count {
		crashes = append(crashes, quarantine.Crash{
			Fingerprint: quarantine.Fingerprint(i+1) << 32, Endpoint: fmt.Sprintf("i-%010x", i%3), Incarnation: 1,
			SentAt: now.Add(time.Duration(i) * time.Microsecond), EndedAt: now.Add(time.Second), Parts: []uint64{1, uint64(i)},
		})
	}
	return crashes
}

// Three runners crash with 700 requests. When another VM becomes the aggregator, hundreds of VMs exchange all records with it, which
// must not take so long that their calls time out and they turn to the next one.
func TestCrashRecordsOverloadTheNextAggregator(t *testing.T) {
	const (
		records  = 700
		maxBytes = 16 << 10
	)
	now := time.Unix(1_000_000, 0)
	member, aggregator := &simulatedVM{name: "vm-1"}, &simulatedVM{name: "vm-2"}
	for _, v := range []*simulatedVM{member, aggregator} {
		v.start(now)
		v.gateway.mergeCrashes(now, "test", crashedRequests(now, records))
	}
	report := member.gateway.report(now)
	member.gateway.addCrashes(report)
	received, err := cbor.Marshal(report)
	assert.NilError(t, err)
	assert.Check(t, len(received) <= maxBytes, "a report of %d bytes", len(received))
	summary, err := cbor.Marshal(aggregator.gateway.mergeReport(now, report))
	assert.NilError(t, err)
	assert.Check(t, len(summary) <= maxBytes, "a summary of %d bytes", len(summary))
}

// crashMergeCost returns the time that a VM takes for a report of another one with a number of crash records that it knows.
func crashMergeCost(records int) time.Duration {
	now := time.Unix(1_000_000, 0)
	v := &simulatedVM{name: "vm-1"}
	v.start(now)
	crashes := crashedRequests(now, records)
	v.gateway.mergeCrashes(now, "test", crashes)
	report := &vm.Report{VM: "vm-2", Crashes: crashes, Aggregator: v.gateway.incarnation, ReceivedCrashes: uint64(records)}
	startedAt := time.Now()
	v.gateway.mergeReport(now, report)
	return time.Since(startedAt)
}

// A VM of the build before sends all of its records. Merging those that are known must cost no more than in proportion.
func TestKnownCrashRecordsBlockTheAggregator(t *testing.T) {
	const few, many = 70, 700
	leastFew, leastMany := leastCosts(3, 3*many/few, func() time.Duration { return crashMergeCost(few) },
		func() time.Duration { return crashMergeCost(many) })
	assert.Check(t, leastMany < 3*many/few*leastFew, "%v for %d records, %v for %d", leastFew, few, leastMany, many)
}

// A crash that a VM sees while it exchanges the records before with a new aggregator is known to others by the next exchange, also to
// a VM of the build before, which gets records in order.
func TestNewCrashWaitsBehindThoseBefore(t *testing.T) {
	const records = 700
	now := time.Unix(1_000_000, 0)
	aggregator := &simulatedVM{name: "vm-0"}
	aggregator.start(now)
	vms := []*simulatedVM{{name: "vm-1"}, {name: "vm-2"}}
	for _, v := range vms {
		v.start(now)
		v.gateway.mergeCrashes(now, "test", crashedRequests(now, records))
	}
	before := dissemination.NewTable[quarantine.Crash]()
	var receivedBefore uint64
	exchange := func() {
		for _, v := range vms {
			g := v.gateway
			report := g.report(now)
			sent := g.addCrashes(report)
			summary := aggregator.gateway.mergeReport(now, report)
			assert.Assert(t, len(report.Crashes) <= maxExchangedRecords && len(summary.Crashes) <= maxExchangedRecords)
			g.recordCrashExchange(now, report, sent, summary)
			g.aggregatorIncarnation = summary.Aggregator
		}
		report := &vm.Report{VM: "before", Aggregator: aggregator.gateway.incarnation, ReceivedCrashes: receivedBefore}
		summary := aggregator.gateway.mergeReport(now, report)
		for _, crash := range summary.Crashes {
			before.Put(now, crash)
		}
		receivedBefore = summary.SentCrashes
	}
	exchange()
	seen := quarantine.Crash{Fingerprint: 7, Endpoint: "i-9", Incarnation: 1, SentAt: now, EndedAt: now.Add(time.Second)}
	vms[0].gateway.mergeCrashes(now, "test", []quarantine.Crash{seen})
	exchange()
	_, _, known := vms[1].gateway.crashes.records.Get(seen.Key())
	assert.Check(t, known, "a crash is known after the backlog only")
	for range 2 * records / maxExchangedRecords {
		exchange()
	}
	assert.Equal(t, len(aggregator.gateway.crashes.records.Records()), records+1)
	assert.Equal(t, len(before.Records()), records+1)
}

// firstReportCost returns the time that a new aggregator takes for the first report of each of many VMs, each of which has seen a number
// of runners fail.
func firstReportCost(failures int) time.Duration {
	const vms = 295
	now := time.Unix(1_000_000, 0)
	v := &simulatedVM{name: "aggregator"}
	v.start(now)
	reports := make([]*vm.Report, vms)
	for i := range reports {
		reports[i] = largeFleetReport(i)
		reports[i].Capacities = make(map[string]capacity.Evidence)
		for j := range 60 {
			reports[i].Capacities[fmt.Sprintf("i-%010x", (7*i+3*j)%165)] = capacity.Evidence{Incarnation: 1}
		}
		for j := range failures {
			reports[i].RunnerFailures = append(reports[i].RunnerFailures, vm.RunnerFailure{Runner: fmt.Sprintf("i-%010x", j), Incarnation: 1})
		}
	}
	startedAt := time.Now()
	for _, report := range reports {
		now = now.Add(time.Second / vms)
		v.gateway.mergeReport(now, report)
	}
	return time.Since(startedAt) / vms
}

// Each of hundreds of VMs tells a new aggregator which runners have crashed.
func TestFailedConnectionsOverloadTheNextAggregator(t *testing.T) {
	without, with := leastCosts(2, 3, func() time.Duration { return firstReportCost(0) }, func() time.Duration { return firstReportCost(3) })
	assert.Check(t, with < 3*without, "%v for a report without failures, %v with three", without, with)
}
