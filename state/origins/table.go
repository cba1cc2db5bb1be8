package origins

import "time"

// Origin is where a stream began.
type Origin struct {
	Service string `json:"service"`
	// Software is the version of the software of the runner that sent the first event.
	Software string `json:"software"`
}

// maxOrigins bounds the streams that a table holds.
const maxOrigins = 4096

type known struct {
	origin Origin
	until  time.Time
}

// Table holds the origins of streams by the attempt that brought their first event.
type Table struct {
	byAttempt map[string]known
	// order holds the attempts in the order in which they were put.
	order []string
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{byAttempt: make(map[string]known)} }

// Put records the origin of a stream, which callers may take up until a time.
func (t *Table) Put(now time.Time, attempt string, origin Origin, until time.Time) {
	if _, ok := t.byAttempt[attempt]; !ok {
		t.order = append(t.order, attempt)
	}
	t.byAttempt[attempt] = known{origin, until}
	for len(t.order) > 0 && (len(t.order) > maxOrigins || !now.Before(t.byAttempt[t.order[0]].until)) {
		delete(t.byAttempt, t.order[0])
		t.order = t.order[1:]
	}
}

// Get returns the origin of the stream whose first event an attempt brought, or false if it is not known.
func (t *Table) Get(now time.Time, attempt string) (Origin, bool) {
	k, ok := t.byAttempt[attempt]
	return k.origin, ok && now.Before(k.until)
}
