package gateway

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endlessBody repeats a text far beyond the limit of an event and counts what is read.
type endlessBody struct {
	text string
	read int
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.read > 16*maxEventBytes {
		return 0, io.EOF
	}
	n := copy(p, strings.Repeat(b.text, 1+len(p)/len(b.text)))
	b.read += n
	return n, nil
}

// memoryWriter takes what is relayed to the caller.
type memoryWriter struct{ written int }

func (w *memoryWriter) Write(p []byte) (int, error) {
	w.written += len(p)
	return len(p), nil
}

func (w *memoryWriter) Flush() error { return nil }

type noTimeouts struct{}

func (noTimeouts) SetWriteTimeout(time.Duration) error { return nil }

func TestEndlessBytesInPlaceOfEventsAreRelayedWithoutEnd(t *testing.T) {
	tests := []struct{ name, text string }{
		{"no line", "x"},
		{"lines", "xxxxxxx\n"},
		{"empty events", "\n\n"},
		{"events without an identifier", "data: x\n\n"},
		{"comments", ": x\n\n"},
		{"the same event", "id: 1\ndata: x\n\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			body, writer := &endlessBody{text: test.text}, &memoryWriter{}
			r := &eventRelay{conn: noTimeouts{}, writer: writer, lastID: -1}
			assert.Check(t, r.copy(body, false) != nil)
			assert.Check(t, body.read <= 2*maxEventBytes, "%d bytes read", body.read)
			assert.Check(t, writer.written <= 2*maxEventBytes, "%d bytes relayed", writer.written)
		})
	}
}

func TestStreamThatBreaksOffIsRelayedAsComplete(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	tests := []struct {
		name, text         string
		endsWithConnection bool
		want               error
	}{
		{"framed, whole", event, false, nil},
		{"framed, no event", "", false, nil},
		{"framed, within an event", event + "id: 2\nda", false, errTruncatedEvent},
		{"unframed, whole", event, true, nil},
		{"unframed, no event", "", true, io.ErrUnexpectedEOF},
		{"unframed, within an event", event + "id: 2\nda", true, io.ErrUnexpectedEOF},
		{"unframed, before the end of an event", event + "id: 2\ndata: x\n", true, io.ErrUnexpectedEOF},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := &eventRelay{conn: noTimeouts{}, writer: &memoryWriter{}, lastID: -1}
			assert.ErrorIs(t, r.copy(strings.NewReader(test.text), test.endsWithConnection), test.want)
		})
	}
}
