package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const columnGap = 2

// table prints rows in aligned columns and keeps the first write error for flush.
type table struct {
	writer *tabwriter.Writer
	err    error
}

func newTable(out io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
}

func (t *table) writeRow(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	t.writeLine(strings.Join(texts, "\t"))
}

func (t *table) writeLine(text string) {
	if t.err == nil {
		_, t.err = fmt.Fprintln(t.writer, text)
	}
}

func (t *table) flush() error {
	if t.err != nil {
		return t.err
	}
	return t.writer.Flush()
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
