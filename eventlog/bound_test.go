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

func TestABoundedLogNeverBlocksAndTellsWhatItLeftOut(t *testing.T) {
	out := &slowOutput{release: make(chan struct{})}
	log := NewBounded(out, logrus.InfoLevel, "p", "d", Budget{Routine: 10, Others: 5000})
	for range 500 {
		log.Emit(RequestServed, "id")
	}
	for range queueLines + 100 {
		log.Emit(StoreLost, "gone")
	}
	close(out.release)
	log.Flush()
	text := out.text.String()
	assert.Assert(t, strings.Count(text, `"event":507`) <= 20)
	assert.Assert(t, strings.Count(text, `"event":404`) > queueLines-100)
	log.Emit(StoreBack, 7)
	log.tellOmitted()
	log.Flush()
	assert.Assert(t, strings.Contains(out.text.String(), `"event":105`) || log.bound.omitted.Load() > 0)
}
