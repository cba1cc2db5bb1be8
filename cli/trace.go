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

// traceAround is the number of lines about the time of a request that are shown, so that a trace fits a screen.
const traceAround = 15

type traceCommand struct {
	*operatorOptions `no-flag:"true"`
	Arguments        struct {
		Request string   `positional-arg-name:"REQUEST" required:"yes"`
		Files   []string `positional-arg-name:"LOG"`
	} `positional-args:"true"`
}

// Execute tells what became of a request, from the logs of many processes.
func (c *traceCommand) Execute([]string) error {
	records, err := c.read()
	if err != nil {
		return exitWith(ExitFailure, err)
	}
	found, ok := trace.Build(records, c.Arguments.Request)
	if !ok {
		return exitWith(ExitFailure, errors.Errorf("none of %d lines names request %s", len(records), c.Arguments.Request))
	}
	return c.show(found, func(t *table) { printTrace(t, found) })
}

func (c *traceCommand) read() ([]trace.Record, error) {
	if len(c.Arguments.Files) == 0 {
		return trace.Read(os.Stdin)
	}
	var all []trace.Record
	for _, name := range c.Arguments.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		records, err := trace.Read(file)
		if closed := file.Close(); err == nil {
			err = closed
		}
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, records...)
	}
	return all, nil
}

func printTrace(t *table, found trace.Trace) {
	t.line("request " + found.Request + ", taken at " + found.StartedAt.Format(time.RFC3339Nano))
	t.line("cause: " + found.Cause)
	t.row("AFTER MS", "PROCESS", "EVENT", "")
	printRecords(t, found, found.OwnEvents)
	t.line("")
	t.line("at the time:")
	printRecords(t, found, found.RelatedEvents[:min(traceAround, len(found.RelatedEvents))])
	if left := len(found.RelatedEvents) - traceAround; left > 0 {
		t.line(fmt.Sprintf("and %d more (all with --output json)", left))
	}
	for _, calls := range found.OtherCalls {
		t.line(fmt.Sprintf("runner %s: %d other requests served, %d calls failed", calls.Runner, calls.Served, calls.Failed))
	}
	if found.DroppedLines > 0 {
		t.line(fmt.Sprintf("the VM left out %d lines of its log at the time", found.DroppedLines))
	}
}

func printRecords(t *table, found trace.Trace, records []trace.Record) {
	for _, r := range records {
		t.row(r.At.Sub(found.StartedAt).Milliseconds(), r.Process, r.Event, details(r.Line))
	}
}

// details returns a line's text and the fields that are not shown otherwise.
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
