package gateway

import (
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/dissemination"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
)

// recordSet holds the records that VMs exchange through the aggregator.
type recordSet[R dissemination.Record] struct {
	*dissemination.Table[R]
	// sent is the number of changes that the aggregator has received, and received the number of its changes that this VM
	// has. Both hold for the aggregator process that answered last.
	sent, received uint64
}

func newRecordSet[R dissemination.Record]() recordSet[R] {
	return recordSet[R]{Table: dissemination.NewTable[R]()}
}

// sentRecords holds the numbers of changes that the aggregator has after a report.
type sentRecords struct{ crashes, clearances uint64 }

// addCrashes adds to a report the crash records and clearances that the aggregator lacks. It returns what the aggregator
// has after the report. The caller must hold the lock.
func (g *Gateway) addCrashes(report *vm.Report) sentRecords {
	var sent sentRecords
	report.Crashes, sent.crashes = g.crashes.records.ChangedSince(g.crashes.records.sent)
	report.ReceivedCrashes = g.crashes.records.received
	report.Clearances, sent.clearances = g.crashes.clearances.ChangedSince(g.crashes.clearances.sent)
	report.ReceivedClearances = g.crashes.clearances.received
	return sent
}

// recordCrashExchange records the crash records and clearances that a report and its summary exchanged. The records that
// were sent under the number of another aggregator process are sent again. The caller must hold the lock.
func (g *Gateway) recordCrashExchange(now time.Time, report *vm.Report, sent sentRecords, s *vm.Summary) {
	if s.Aggregator != report.Aggregator {
		sent = sentRecords{}
	}
	g.crashes.records.sent, g.crashes.clearances.sent = sent.crashes, sent.clearances
	g.crashes.records.received, g.crashes.clearances.received = s.SentCrashes, s.SentClearances
	g.mergeClearances(now, s.Clearances)
	g.mergeCrashes(now, "aggregator", s.Crashes)
}

// exchangeCrashes merges the crash records and clearances of a report, and adds those that the reporting VM lacks to its
// summary. The caller must hold the lock.
func (g *Gateway) exchangeCrashes(now time.Time, received *vm.Report, s *vm.Summary) {
	g.mergeClearances(now, received.Clearances)
	g.mergeCrashes(now, received.VM, received.Crashes)
	knownCrashes, knownClearances := received.ReceivedCrashes, received.ReceivedClearances
	if received.Aggregator != g.incarnation {
		knownCrashes, knownClearances = 0, 0
	}
	s.Crashes, s.SentCrashes = g.crashes.records.ChangedSince(knownCrashes)
	s.Clearances, s.SentClearances = g.crashes.clearances.ChangedSince(knownClearances)
}
