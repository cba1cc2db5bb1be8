package peer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/zinniaroute/zinniaroute/coordination/dissemination"
	"github.com/zinniaroute/zinniaroute/coordination/membership"
	"github.com/zinniaroute/zinniaroute/state/ledger"
	"github.com/zinniaroute/zinniaroute/state/residency"
)

// BenchmarkBytes reports the encoded size of one record of each kind.
func BenchmarkBytes(b *testing.B) {
	state := residency.RunnerState{
		Runner: "engine-0123", Sequence: 1 << 20, Observer: "kumamoto-a-12", Reachable: true,
		Incarnation: "3f2b8a10-6c1e-4ed1-a111-aaaaaaaaaaaa", Running: 120, Waiting: 12,
	}
	for i := range 12 {
		state.Items = append(state.Items, residency.HeldItem{Name: fmt.Sprint("history-reader-", i), Kind: ledger.ItemBase, Ready: true})
	}
	member := membership.Member{
		Name: "kumamoto-a-12", Domain: "kumamoto-a", Address: netip.MustParseAddrPort("10.10.10.10:7003"),
		Sequence: 1 << 50, Revision: 12345, EntryRevision: 12345,
	}
	records := []struct {
		name  string
		value any
	}{
		{"member", member},
		{"runner with 12 items", state},
		{"digest", dissemination.Digest{KeyHash: 1 << 31, Version: 1 << 50}},
	}
	for _, record := range records {
		b.Run(record.name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := cbor.Marshal(record.value)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "B/record")
		})
	}
}
