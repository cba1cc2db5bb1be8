package vm

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/coordination/relay"
	"github.com/zinniaroute/zinniaroute/state/allowance"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

func sampleView() relay.View {
	return relay.View{Revision: 12, Full: true, Age: time.Second, Items: []relay.Item{
		{Key: "routes", Value: []byte("{}"), Revision: 11}, {Key: "runners/r1", Revision: 12, Deleted: true},
	}}
}

func sampleReport() Report {
	return Report{
		VM: "vm-1", SyncedRevision: fleet.NewRevision(1, 9), Aggregator: "a", ReceivedChanges: 3, PackedViews: true,
		Limits:     []Limit{{Runner: "r1", PerSecond: 2, Age: time.Second}},
		Departures: []Departure{{Runner: "r2", Incarnation: 5}}, PathLost: true,
	}
}

func sampleSummary() Summary {
	view := sampleView()
	return Summary{View: &view, Grace: 2500 * time.Millisecond, Aggregator: "a", SentChanges: 4, LostPaths: []string{"vm-2"}}
}

// During an upgrade VMs of the build before send these messages, without the fields that were added since.
func TestMessagesOfTheBuildBeforeAreRead(t *testing.T) {
	tests := []struct {
		name, encoded string
		decoded, want any
	}{
		{
			"report", "a80164766d2d31061b000100000000000907616108030cf50f81a30162723102fb4000000000000000031a3b9aca001081a201627232020511f5",
			&Report{}, sampleReport(),
		},
		{
			"summary", "a506a4010c02f50382a30166726f7574657302427b7d030ba3016a72756e6e6572732f7231030c04f5041a3b9aca00" +
				"071a9502f9000861610904118164766d2d32",
			&Summary{}, sampleSummary(),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data, err := hex.DecodeString(test.encoded)
			assert.NilError(t, err)
			assert.NilError(t, cbor.Unmarshal(data, test.decoded))
			switch decoded := test.decoded.(type) {
			case *Report:
				assert.DeepEqual(t, *decoded, test.want)
				assert.Check(t, !decoded.Paced, "large values must not be held back from it")
				assert.Check(t, decoded.Allowances == nil, "its spending is not known")
			case *Summary:
				assert.DeepEqual(t, *decoded, test.want)
				assert.Check(t, !decoded.View.HeldBack)
			}
		})
	}
}

// reportBefore and summaryBefore are the messages of the build before, with some of their fields.
type reportBefore struct {
	VM             string         `cbor:"1,keyasint"`
	SyncedRevision fleet.Revision `cbor:"6,keyasint,omitempty"`
	PathLost       bool           `cbor:"17,keyasint,omitempty"`
}

type summaryBefore struct {
	View  *viewBefore   `cbor:"6,keyasint,omitempty"`
	Grace time.Duration `cbor:"7,keyasint,omitempty"`
}

type viewBefore struct {
	Revision fleet.Revision `cbor:"1,keyasint"`
	Full     bool           `cbor:"2,keyasint,omitempty"`
	Items    []relay.Item   `cbor:"3,keyasint,omitempty"`
	Age      time.Duration  `cbor:"4,keyasint"`
}

// VMs of the build before get messages with fields that they do not know.
func TestBuildBeforeReadsTheMessages(t *testing.T) {
	report := sampleReport()
	report.Paced = true
	report.Allowances = &allowance.Report{
		Incarnation: "b", Partial: time.Millisecond, Workspaces: []allowance.Spending{{Workspace: "w", Bins: []int64{7, 8}, Demand: 9}},
	}
	data, err := cbor.Marshal(report)
	assert.NilError(t, err)
	var earlierReport reportBefore
	assert.NilError(t, cbor.Unmarshal(data, &earlierReport))
	assert.Equal(t, earlierReport, reportBefore{VM: report.VM, SyncedRevision: report.SyncedRevision, PathLost: true})
	summary := sampleSummary()
	summary.View.HeldBack = true
	summary.Allowances = &allowance.Summary{Reporting: 3, Workspaces: []allowance.Spending{{Workspace: "w", Unseen: 10}}}
	data, err = cbor.Marshal(summary)
	assert.NilError(t, err)
	var earlierSummary summaryBefore
	assert.NilError(t, cbor.Unmarshal(data, &earlierSummary))
	assert.Equal(t, earlierSummary.Grace, summary.Grace)
	assert.DeepEqual(t, *earlierSummary.View, viewBefore{
		Revision: summary.View.Revision, Full: true, Items: summary.View.Items, Age: summary.View.Age,
	})
	var read Report
	data, err = cbor.Marshal(report)
	assert.NilError(t, err)
	assert.NilError(t, cbor.Unmarshal(data, &read))
	assert.DeepEqual(t, read, report)
}

// A request for an origin has a model since the build after, whose absence means that no runner is asked.
func TestOriginRequestIsReadByTheBuildBefore(t *testing.T) {
	type requestBefore struct {
		Attempt string `cbor:"1,keyasint"`
		Service string `cbor:"2,keyasint,omitempty"`
	}
	data, err := cbor.Marshal(OriginRequest{Attempt: "a", Service: "s", Model: "m"})
	assert.NilError(t, err)
	var earlier requestBefore
	assert.NilError(t, cbor.Unmarshal(data, &earlier))
	assert.Equal(t, earlier, requestBefore{Attempt: "a", Service: "s"})
	data, err = cbor.Marshal(earlier)
	assert.NilError(t, err)
	var request OriginRequest
	assert.NilError(t, cbor.Unmarshal(data, &request))
	assert.Equal(t, request, OriginRequest{Attempt: "a", Service: "s"})
}

// VMs of the build before exchange four priority levels of pending tokens.
func TestLoadsOfOtherNumbersOfPriorityLevelsAreRead(t *testing.T) {
	type loadBefore struct {
		Running              int    `cbor:"1,keyasint,omitempty"`
		PendingPrefillTokens [4]int `cbor:"2,keyasint,omitempty"`
	}
	var load dispatch.EndpointLoad
	data, err := cbor.Marshal(loadBefore{Running: 2, PendingPrefillTokens: [4]int{1, 2, 3, 4}})
	assert.NilError(t, err)
	assert.NilError(t, cbor.Unmarshal(data, &load))
	load.PendingPrefillTokens[8] = 9
	data, err = cbor.Marshal(load)
	assert.NilError(t, err)
	var before loadBefore
	assert.NilError(t, cbor.Unmarshal(data, &before))
	assert.Equal(t, before, loadBefore{Running: 2, PendingPrefillTokens: [4]int{1, 2, 3, 4}})
}

// endpointLoadBefore is the load of the build before, without the rates by level.
type endpointLoadBefore struct {
	Running              int     `cbor:"1,keyasint,omitempty"`
	PendingPrefillTokens [4]int  `cbor:"2,keyasint,omitempty"`
	PrefillRate          float64 `cbor:"3,keyasint,omitempty"`
}

// During an upgrade one of two VMs knows no rates by level.
func TestBuildBeforeReadsTheLoadsByLevel(t *testing.T) {
	type loadsBefore struct {
		EndpointLoads map[string]endpointLoadBefore `cbor:"1,keyasint,omitempty"`
	}
	now := Summary{EndpointLoads: map[string]dispatch.EndpointLoad{
		"r1": {Running: 2, PendingPrefillTokens: [9]int{0, 5, 0, 7}, PrefillRate: 90, PrefillRates: [9]int{0, 80, 10, 0}},
	}}
	data, err := cbor.Marshal(now)
	assert.NilError(t, err)
	var before loadsBefore
	assert.NilError(t, cbor.Unmarshal(data, &before))
	assert.Equal(t, before.EndpointLoads["r1"], endpointLoadBefore{Running: 2, PendingPrefillTokens: [4]int{0, 5, 0, 7}, PrefillRate: 90})
	data, err = cbor.Marshal(before)
	assert.NilError(t, err)
	var read Summary
	assert.NilError(t, cbor.Unmarshal(data, &read))
	expected := now.EndpointLoads["r1"]
	expected.PrefillRates = [9]int{}
	assert.Equal(t, read.EndpointLoads["r1"], expected)
}

// A VM of the build before neither sends failures nor knows them.
func TestBuildBeforeReadsMessagesWithFailures(t *testing.T) {
	report, summary := sampleReport(), sampleSummary()
	report.RunnerFailures = []RunnerFailure{{Runner: "r1", Incarnation: 7, Age: time.Second}}
	summary.RunnerFailures = []RunnerFailure{{Runner: "r1", Incarnation: 7, Age: time.Second, VMs: 2}}
	data, err := cbor.Marshal(report)
	assert.NilError(t, err)
	var earlierReport reportBefore
	assert.NilError(t, cbor.Unmarshal(data, &earlierReport))
	assert.Equal(t, earlierReport, reportBefore{VM: report.VM, SyncedRevision: report.SyncedRevision, PathLost: true})
	var read Report
	assert.NilError(t, cbor.Unmarshal(data, &read))
	assert.DeepEqual(t, read, report)
	data, err = cbor.Marshal(earlierReport)
	assert.NilError(t, err)
	read = Report{}
	assert.NilError(t, cbor.Unmarshal(data, &read))
	assert.Equal(t, len(read.RunnerFailures), 0)
	data, err = cbor.Marshal(summary)
	assert.NilError(t, err)
	var earlierSummary summaryBefore
	assert.NilError(t, cbor.Unmarshal(data, &earlierSummary))
	assert.Equal(t, earlierSummary.Grace, summary.Grace)
}

// A VM of the build before neither sends nor reads the numbers after which records were sent: it has all up to a number.
func TestBuildBeforeReadsMessagesWithPartsOfRecords(t *testing.T) {
	report, summary := sampleReport(), sampleSummary()
	report.ReceivedCrashes, report.ReceivedCrashesAfter, report.ReceivedClearancesAfter, report.ReadsRanges = 9, 5, 4, true
	summary.SentCrashes, summary.SentCrashesAfter, summary.SentClearancesAfter = 9, 5, 4
	data, err := cbor.Marshal(report)
	assert.NilError(t, err)
	var read Report
	assert.NilError(t, cbor.Unmarshal(data, &read))
	assert.DeepEqual(t, read, report)
	var earlierReport reportBefore
	assert.NilError(t, cbor.Unmarshal(data, &earlierReport))
	data, err = cbor.Marshal(earlierReport)
	assert.NilError(t, err)
	read = Report{}
	assert.NilError(t, cbor.Unmarshal(data, &read))
	assert.Check(t, !read.ReadsRanges && read.ReceivedCrashesAfter == 0)
	data, err = cbor.Marshal(summary)
	assert.NilError(t, err)
	var readSummary Summary
	assert.NilError(t, cbor.Unmarshal(data, &readSummary))
	assert.DeepEqual(t, readSummary, summary)
	var earlierSummary summaryBefore
	assert.NilError(t, cbor.Unmarshal(data, &earlierSummary))
	assert.Equal(t, earlierSummary.Grace, summary.Grace)
}
