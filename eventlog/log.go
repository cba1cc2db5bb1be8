package eventlog

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// timeFormat includes milliseconds, so that tools can merge the logs of several processes in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Log writes the events of one process as JSON lines.
type Log struct {
	entry *logrus.Entry
	// bound limits the rate of lines and drops lines instead of blocking; nil means no limit.
	bound *boundedOutput
}

// New returns a log that writes JSON lines, each with the process's name and failure domain.
func New(out io.Writer, level logrus.Level, process, domain string) *Log {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	return &Log{entry: logger.WithFields(logrus.Fields{"process": process, "domain": domain})}
}

// Budget limits the lines of a log per second. Routine events have their own budget, so that they never displace
// failures and state changes.
type Budget struct {
	RoutinePerSecond int
	OthersPerSecond  int
}

const (
	// queueCapacity is the number of lines that are queued for a slow output; further lines are dropped.
	queueCapacity = 2048
	// dropReportInterval is the time between two reports of the number of dropped lines.
	dropReportInterval = 5 * time.Second
)

// NewBounded returns a log that never blocks. It drops lines that exceed the budget or that a slow output cannot
// accept, and logs how many it dropped. The lines are written only while Run is running.
func NewBounded(out io.Writer, level logrus.Level, process, domain string, budget Budget) *Log {
	b := &boundedOutput{out: out, queue: make(chan []byte, queueCapacity), budget: budget}
	log := New(b, level, process, domain)
	log.bound = b
	return log
}

// Run writes the queued lines until the context is done.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.bound.queue:
			l.bound.write(line)
		case <-ticker.C:
			l.reportDropped()
		case <-ctx.Done():
			return nil
		}
	}
}

// Flush writes the lines that are still queued; call it before the process exits.
func (l *Log) Flush() {
	l.reportDropped()
	for {
		select {
		case line := <-l.bound.queue:
			l.bound.write(line)
		default:
			return
		}
	}
}

func (l *Log) reportDropped() {
	if dropped := l.bound.dropped.Swap(0); dropped > 0 {
		l.Emit(LogLinesDropped, dropped)
	}
}

// Emit writes an event. The values are those of its fields, in the order of the catalogue; nil values are left out.
func (l *Log) Emit(event Event, values ...any) {
	if !l.entry.Logger.IsLevelEnabled(event.Level) {
		return
	}
	if l.bound != nil && !l.bound.allow(time.Now(), event.Routine()) {
		return
	}
	fields := make(logrus.Fields, len(values)+1)
	fields["event"] = event.Number
	for i, value := range values {
		if i >= len(event.Fields) || value == nil {
			continue
		}
		if err, ok := value.(error); ok {
			value = err.Error()
		}
		fields[event.Fields[i]] = value
	}
	l.entry.WithFields(fields).Log(event.Level, event.Text)
}

// boundedOutput is a rate-limited, non-blocking output with a queue.
type boundedOutput struct {
	out     io.Writer
	queue   chan []byte
	budget  Budget
	dropped atomic.Uint64

	mu      sync.Mutex
	second  int64
	routine int
	others  int
}

// allow reports whether the budget of the current second admits another line, and counts the line.
func (b *boundedOutput) allow(now time.Time, routine bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second, b.routine, b.others = second, 0, 0
	}
	count, limit := &b.others, b.budget.OthersPerSecond
	if routine {
		count, limit = &b.routine, b.budget.RoutinePerSecond
	}
	if *count >= limit {
		b.dropped.Add(1)
		return false
	}
	*count++
	return true
}

// Write queues a line, or drops it when the queue is full.
func (b *boundedOutput) Write(line []byte) (int, error) {
	select {
	case b.queue <- slices.Clone(line):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// write passes a line to the output. A failed write counts as a dropped line, since the log itself is the only place
// for an error report.
func (b *boundedOutput) write(line []byte) {
	if _, err := b.out.Write(line); err != nil {
		b.dropped.Add(1)
	}
}
