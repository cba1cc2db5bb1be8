package dispatch

import "testing"

// BenchmarkChoose measures the choice among twenty runners for a prompt with shared prefixes.
func BenchmarkChoose(b *testing.B) {
	runners := runnersOf(20)
	d := NewDesk("a")
	for i := range 200 {
		choice, _ := d.Choose(start, draft(uint64(i)), runners, nil)
		d.Began(start, d.Sent(start, draft(uint64(i)), choice))
	}
	r := draft(7)
	b.ReportAllocs()
	for b.Loop() {
		d.Choose(start, r, runners, nil)
	}
}
