package cli

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tidwall/gjson"

	"github.com/zinniaroute/zinniaroute/eventlog/trace"
)

// maxRelatedEvents is the largest number of related events in the table of a trace. With more, the table would not fit
// on a screen.
const maxRelatedEvents = 15

type traceCommand struct {
	*operatorOptions `no-flag:"true"`
	Arguments        struct {
		Request string   `positional-arg-name:"REQUEST" required:"yes"`
		Files   []string `positional-arg-name:"LOG"`
	} `positional-args:"true"`
}

// Execute prints the history of a request from the logs of several processes.
func (c *traceCommand) Execute([]string) error {
	records, err := c.read()
	if err != nil {
		return withExitCode(ExitFailure, err)
	}
	result, ok := trace.Build(records, c.Arguments.Request)
	if !ok {
		return withExitCode(ExitFailure, errors.Errorf("no event in %d log lines names request %s", len(records), c.Arguments.Request))
	}
	return c.show(result, func(t *table) { printTrace(t, result) })
}

func (c *traceCommand) read() ([]trace.Record, error) {
	if len(c.Arguments.Files) == 0 {
		return trace.Read(os.Stdin)
	}
	var merged []trace.Record
	for _, name := range c.Arguments.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		records, err := trace.Read(file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		merged = append(merged, records...)
	}
	return merged, nil
}

func printTrace(t *table, result trace.Trace) {
	t.writeLine("request " + result.Request + ", received at " + result.StartedAt.Format(time.RFC3339Nano))
	t.writeLine("cause: " + result.Cause)
	t.writeRow("AFTER MS", "PROCESS", "EVENT", "")
	printRecords(t, result, result.OwnEvents)
	t.writeLine("")
	t.writeLine("other events at the time:")
	printRecords(t, result, result.RelatedEvents[:min(maxRelatedEvents, len(result.RelatedEvents))])
	if remaining := len(result.RelatedEvents) - maxRelatedEvents; remaining > 0 {
		t.writeLine(fmt.Sprintf("and %d more (--output json shows all)", remaining))
	}
	for _, calls := range result.OtherCalls {
		t.writeLine(fmt.Sprintf("runner %s: %d other requests served, %d calls failed", calls.Runner, calls.Served, calls.Failed))
	}
	if result.DroppedLines > 0 {
		t.writeLine(fmt.Sprintf("the VM dropped %d log lines at the time", result.DroppedLines))
	}
}

func printRecords(t *table, result trace.Trace, records []trace.Record) {
	for _, r := range records {
		t.writeRow(r.At.Sub(result.StartedAt).Milliseconds(), r.Process, r.Event, details(r.Line))
	}
}

// details returns the message of a log line and those fields that have no column of their own.
func details(line string) string {
	var text strings.Builder
	_, _ = io.WriteString(&text, gjson.Get(line, "msg").Str)
	gjson.Parse(line).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "msg", "time", "level", "domain", "process", "event", "request":
		default:
			_, _ = fmt.Fprintf(&text, " %s=%s", key.Str, value.String())
		}
		return true
	})
	return text.String()
}
