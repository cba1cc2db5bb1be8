package eventlog

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
)

// BenchmarkEmit emits the event with the most fields: the one at the end of a request.
func BenchmarkEmit(b *testing.B) {
	log := New(io.Discard, logrus.InfoLevel, "gateway/vm-1", "a")
	b.ReportAllocs()
	for b.Loop() {
		log.Emit(RequestServed, "94667a4cfac94181", "chat", "crest/a1", "end", 200, "", "i-1", 1, 9919, 15, 0, 20, 79)
	}
}
