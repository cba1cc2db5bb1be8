package eventlog

import (
	"strings"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// slowOutput blocks every write until release is closed.
type slowOutput struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *slowOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestBoundedLogNeverBlocksAndReportsDroppedLines(t *testing.T) {
	out := &slowOutput{release: make(chan struct{})}
	log := NewBounded(out, logrus.InfoLevel, "p", "d", Budget{RoutinePerSecond: 10, OthersPerSecond: 5000})
	for range 500 {
		log.Emit(RequestServed, "id")
	}
	for range queueCapacity + 100 {
		log.Emit(StoreUnreachable, "gone")
	}
	close(out.release)
	log.Flush()
	text := out.text.String()
	assert.Assert(t, strings.Count(text, `"event":507`) <= 20)
	assert.Assert(t, strings.Count(text, `"event":404`) > queueCapacity-100)
	log.Emit(StoreReachable, 7)
	log.reportDropped()
	log.Flush()
	assert.Assert(t, strings.Contains(out.text.String(), `"event":105`) || log.bound.dropped.Load() > 0)
}
