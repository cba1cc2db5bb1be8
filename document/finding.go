package document

import (
	"fmt"
	"strings"
)

// Position is a line of a file. Lines count from one; zero means that the line is unknown.
type Position struct {
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
}

// String returns the position as file:line, or the file alone if the line is unknown.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// Finding is one fault in a document or in a value that overrides it.
type Finding struct {
	Position Position `json:"place"`
	Object   string   `json:"object,omitempty"`
	Message  string   `json:"message"`
}

// String returns the position, the object and the message, joined by colons.
func (f Finding) String() string {
	parts := make([]string, 0, 3)
	if position := f.Position.String(); position != "" {
		parts = append(parts, position)
	}
	if f.Object != "" {
		parts = append(parts, f.Object)
	}
	return strings.Join(append(parts, f.Message), ": ")
}

// Findings is a list of faults that implements error.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
