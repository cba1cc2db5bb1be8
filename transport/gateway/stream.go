package gateway

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/pkg/errors"
)

const (
	// readBufferBytes is the size of one read. The connection's buffer is larger.
	readBufferBytes = 4 << 10
	// maxEventBytes is the largest size of an event of a stream, and of what comes between two events with a new
	// identifier.
	maxEventBytes = 1 << 20
	// writeTimeout is the time limit for a write of events to a caller that reads slowly.
	writeTimeout = 3 * time.Second
)

var (
	errCallerLeft     = errors.New("the caller closed the connection or reads too slowly")
	errEventTooLong   = errors.New("the stream has more than 1 MiB without a new event")
	errTruncatedEvent = errors.New("the stream ended within an event")
	// errBrokenOff means that a stream without a length or chunks ended before its first event or within an event.
	errBrokenOff = errors.Wrap(io.ErrUnexpectedEOF, "the connection ended without a whole event")
)

type chunkWriter interface {
	io.Writer
	Flush() error
}

// callerConn is the part of the connection to the caller that the relay needs.
type callerConn interface {
	SetWriteTimeout(timeout time.Duration) error
}

// eventRelay relays whole events of a stream to the caller. It keeps the identifier of the last one, so that another
// runner can resume the stream.
type eventRelay struct {
	conn   callerConn
	writer chunkWriter
	// lastEvent is the identifier of the last relayed event. lastID is the last numeric identifier, or -1.
	lastEvent string
	lastID    int64
	// withoutProgress is the number of bytes since the last new identifier.
	withoutProgress int
}

// newEventRelay returns the relay of a stream that begins after an event of it that the caller has, or at its first event if
// that is "".
func newEventRelay(c *app.RequestContext, after string) *eventRelay {
	writer := resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())
	c.Response.HijackWriter(writer)
	r := &eventRelay{conn: c.GetConn(), writer: writer, lastID: -1}
	if id, err := strconv.ParseInt(after, 10, 64); err == nil {
		r.lastID = id
	}
	return r
}

// copy relays events until the stream ends. It skips events that an earlier attempt relayed. EndsWithConnection means that
// the end of the connection is the only end of the stream.
func (r *eventRelay) copy(body io.Reader, endsWithConnection bool) error {
	var pending []byte
	empty := true
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		r.withoutProgress += n
		pending = append(pending, buffer[:n]...)
		empty = empty && n == 0
		end := bytes.LastIndex(pending, []byte("\n\n"))
		if end >= 0 {
			if writeErr := r.write(pending[:end+2]); writeErr != nil {
				return writeErr
			}
			pending = append(pending[:0], pending[end+2:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && endsWithConnection && (empty || len(bytes.TrimSpace(pending)) > 0):
			return errBrokenOff
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) > 0:
			return errTruncatedEvent
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case r.withoutProgress > maxEventBytes:
			return errEventTooLong
		}
	}
}

// write writes whole events to the caller without delay.
func (r *eventRelay) write(data []byte) error {
	unsent := make([]byte, 0, len(data))
	for len(data) > 0 {
		end := bytes.Index(data, []byte("\n\n")) + 2
		if r.recordIfNew(data[:end]) {
			unsent = append(unsent, data[:end]...)
		}
		data = data[end:]
	}
	if len(unsent) == 0 {
		return nil
	}
	if err := r.conn.SetWriteTimeout(writeTimeout); err != nil {
		return errCallerLeft
	}
	if _, err := r.writer.Write(unsent); err != nil {
		return errCallerLeft
	}
	if err := r.writer.Flush(); err != nil {
		return errCallerLeft
	}
	// The timeout set above would apply to all later writes on the connection, also of other answers.
	if err := r.conn.SetWriteTimeout(0); err != nil {
		return errCallerLeft
	}
	return nil
}

// recordIfNew reports whether an event has not been relayed yet, and records its identifier.
func (r *eventRelay) recordIfNew(event []byte) bool {
	text, hasID := eventID(event)
	if !hasID {
		return true
	}
	if id, err := strconv.ParseInt(text, 10, 64); err == nil {
		if id <= r.lastID {
			return false
		}
		r.lastID = id
	}
	r.lastEvent, r.withoutProgress = text, 0
	return true
}

// eventID returns the value of an event's "id:" line, or false if it has none.
func eventID(event []byte) (string, bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
		event = rest
	}
	return "", false
}
