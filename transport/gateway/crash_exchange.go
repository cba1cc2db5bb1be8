package gateway

import (
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/dissemination"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
)

// maxExchangedRecords bounds the crash records, and the clearances, of one report or summary. When runners crash or the aggregator
// changes, there may be thousands, which hundreds of VMs exchange at once.
const maxExchangedRecords = 128

// recordSet holds the records that VMs exchange through the aggregator.
type recordSet[R dissemination.Record] struct {
	*dissemination.Table[R]
	// sent is the part of this VM's changes that the aggregator has, and received the part of the aggregator's changes that this VM
	// has. Both hold for the aggregator process that answered last.
	sent, received dissemination.Range
}

func newRecordSet[R dissemination.Record]() recordSet[R] {
	return recordSet[R]{Table: dissemination.NewTable[R]()}
}

// sentRecords holds the parts of this VM's changes that the aggregator has after a report.
type sentRecords struct{ crashes, clearances dissemination.Range }

// addCrashes adds to a report crash records and clearances that the aggregator lacks. It returns what the aggregator has after the
// report. The caller must hold the lock.
func (g *Gateway) addCrashes(report *vm.Report) sentRecords {
	var sent sentRecords
	crashes, clearances := &g.crashes.records, &g.crashes.clearances
	report.Crashes, sent.crashes = crashes.Missing(crashes.sent, maxExchangedRecords)
	report.ReceivedCrashes, report.ReceivedCrashesAfter = crashes.received.UpTo, crashes.received.After
	report.Clearances, sent.clearances = clearances.Missing(clearances.sent, maxExchangedRecords)
	report.ReceivedClearances, report.ReceivedClearancesAfter = clearances.received.UpTo, clearances.received.After
	report.ReadsRanges = true
	return sent
}

// recordCrashExchange records the crash records and clearances that a report and its summary exchanged. The records that
// were sent under the number of another aggregator process are sent again. The caller must hold the lock.
func (g *Gateway) recordCrashExchange(now time.Time, report *vm.Report, sent sentRecords, s *vm.Summary) {
	crashes, clearances := &g.crashes.records, &g.crashes.clearances
	if s.Aggregator != report.Aggregator {
		sent = sentRecords{crashes.NoneOf(), clearances.NoneOf()}
	}
	crashes.sent, clearances.sent = sent.crashes, sent.clearances
	crashes.received = dissemination.Range{After: s.SentCrashesAfter, UpTo: s.SentCrashes}
	clearances.received = dissemination.Range{After: s.SentClearancesAfter, UpTo: s.SentClearances}
	g.mergeClearances(now, s.Clearances)
	g.mergeCrashes(now, "aggregator", s.Crashes)
}

// exchangeCrashes merges the crash records and clearances of a report, and adds some that the reporting VM lacks to its summary. The
// caller must hold the lock.
func (g *Gateway) exchangeCrashes(now time.Time, received *vm.Report, s *vm.Summary) {
	g.mergeClearances(now, received.Clearances)
	g.mergeCrashes(now, received.VM, received.Crashes)
	crashes, clearances := &g.crashes.records, &g.crashes.clearances
	knownCrashes := dissemination.Range{After: received.ReceivedCrashesAfter, UpTo: received.ReceivedCrashes}
	knownClearances := dissemination.Range{After: received.ReceivedClearancesAfter, UpTo: received.ReceivedClearances}
	switch {
	case received.Aggregator == g.incarnation:
	case received.ReadsRanges:
		knownCrashes, knownClearances = crashes.NoneOf(), clearances.NoneOf()
	default:
		// A VM of the build before takes what it gets for all up to a number.
		knownCrashes, knownClearances = dissemination.Range{}, dissemination.Range{}
	}
	s.Crashes, knownCrashes = crashes.Missing(knownCrashes, maxExchangedRecords)
	s.SentCrashes, s.SentCrashesAfter = knownCrashes.UpTo, knownCrashes.After
	s.Clearances, knownClearances = clearances.Missing(knownClearances, maxExchangedRecords)
	s.SentClearances, s.SentClearancesAfter = knownClearances.UpTo, knownClearances.After
}
