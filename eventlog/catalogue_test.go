package eventlog

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

const eventsPage = "../docs/EVENTS.md"

var update = flag.Bool("write-events", false, "write docs/EVENTS.md")

func page() string {
	var text strings.Builder
	text.WriteString("# Log events\n\n")
	text.WriteString("Each process writes JSON lines with the fields `time`, `level`, `msg`, `event`, `process` and `domain`,\n")
	text.WriteString("and the fields below. This page is written by `go test ./eventlog -args -write-events`.\n\n")
	text.WriteString("| event | level | text | fields | what to do |\n|---|---|---|---|---|\n")
	for _, event := range Catalogue() {
		_, _ = fmt.Fprintf(&text, "| %d | %s | %s | %s | %s |\n",
			event.Number, event.Level, event.Text, strings.Join(event.Fields, ", "), event.Advice)
	}
	return text.String()
}

func TestEventsPageMatchesCatalogue(t *testing.T) {
	if *update {
		assert.NilError(t, os.WriteFile(eventsPage, []byte(page()), 0o600))
	}
	data, err := os.ReadFile(eventsPage)
	assert.NilError(t, err)
	assert.Equal(t, string(data), page())
}

func TestEventNumbersAreUnique(t *testing.T) {
	seen := make(map[int]string)
	for _, event := range Catalogue() {
		assert.Equal(t, seen[event.Number], "", event.Text)
		seen[event.Number] = event.Text
	}
}

func TestEmitWritesEventFields(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, logrus.InfoLevel, "entry/vm-1", "kumamoto-a")
	log.Emit(CatalogApplied, 7, "peer")
	var line struct {
		Event    int    `json:"event"`
		Process  string `json:"process"`
		Domain   string `json:"domain"`
		Revision int    `json:"revision"`
		Source   string `json:"source"`
	}
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line.Event, 201)
	assert.Equal(t, line.Process, "entry/vm-1")
	assert.Equal(t, line.Domain, "kumamoto-a")
	assert.Equal(t, line.Revision, 7)
	assert.Equal(t, line.Source, "peer")
}
