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

// traceAround is the number of surrounding events that a trace shows. With more, a trace would not fit on a screen.
const traceAround = 15

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
		return exitWith(ExitFailure, err)
	}
	found, ok := trace.Build(records, c.Arguments.Request)
	if !ok {
		return exitWith(ExitFailure, errors.Errorf("no event in %d log lines names request %s", len(records), c.Arguments.Request))
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
	t.line("request " + found.Request + ", received at " + found.Began.Format(time.RFC3339Nano))
	t.line("cause: " + found.Cause)
	t.row("AFTER MS", "PROCESS", "EVENT", "")
	printRecords(t, found, found.Own)
	t.line("")
	t.line("other events at the time:")
	printRecords(t, found, found.Around[:min(traceAround, len(found.Around))])
	if left := len(found.Around) - traceAround; left > 0 {
		t.line(fmt.Sprintf("and %d more (--output json shows all)", left))
	}
	for _, calls := range found.Calls {
		t.line(fmt.Sprintf("runner %s: %d other requests served, %d calls failed", calls.Runner, calls.Served, calls.Failed))
	}
	if found.Omitted > 0 {
		t.line(fmt.Sprintf("the VM dropped %d log lines at the time", found.Omitted))
	}
}

func printRecords(t *table, found trace.Trace, records []trace.Record) {
	for _, r := range records {
		t.row(r.At.Sub(found.Began).Milliseconds(), r.Process, r.Event, details(r.Line))
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
