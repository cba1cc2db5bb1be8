package trace

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tidwall/gjson"
)

// maxLineBytes is the longest log line in bytes; Read returns an error for a longer one.
const maxLineBytes = 1 << 20

// Record is one line of a process's log.
type Record struct {
	At      time.Time `json:"at"`
	Process string    `json:"process"`
	Event   int       `json:"event"`
	Request string    `json:"request,omitempty"`
	Runner  string    `json:"runner,omitempty"`
	Line    string    `json:"line"`
}

// Field returns the value of a field of the line by its JSON key.
func (r Record) Field(name string) gjson.Result { return gjson.Get(r.Line, name) }

// Parse parses a log line. It skips any text before the JSON object and returns false if the line is not an event.
func Parse(line string) (Record, bool) {
	start := strings.IndexByte(line, '{')
	if start < 0 || !gjson.Valid(line[start:]) {
		return Record{}, false
	}
	line = line[start:]
	fields := gjson.GetMany(line, "time", "process", "event", "request", "runner")
	at, err := time.Parse(time.RFC3339Nano, fields[0].Str)
	if err != nil || !fields[2].Exists() {
		return Record{}, false
	}
	return Record{
		At: at, Process: fields[1].Str, Event: int(fields[2].Int()), Request: fields[3].Str, Runner: fields[4].Str, Line: line,
	}, true
}

// Read returns the events of a log in the order of its lines and skips all other lines.
func Read(log io.Reader) ([]Record, error) {
	var records []Record
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if record, ok := Parse(scanner.Text()); ok {
			records = append(records, record)
		}
	}
	return records, errors.Wrap(scanner.Err(), "read log")
}
