package document

import "time"

// Duration is a time.Duration that documents write as a string in Go's notation, such as "420ms".
type Duration struct{ time.Duration }

// NewDuration converts a time.Duration to a Duration.
func NewDuration(d time.Duration) Duration { return Duration{Duration: d} }

// MarshalText returns the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a duration in Go's notation.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	d.Duration = span
	return nil
}
