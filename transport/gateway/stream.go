package gateway

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/zinniaroute/zinniaroute/transport/clock"
)

const (
	// readBufferBytes is the size of one read. The connection's buffer is larger.
	readBufferBytes = 4 << 10
	// maxEventBytes is the largest size of an event of a stream, and of what comes between two events with a new
	// identifier.
	maxEventBytes = 1 << 20
	// unreservedEventBytes is the size up to which a part of an event needs no place, and eventBufferBytes the memory for
	// larger ones, of all streams together.
	unreservedEventBytes = 64 << 10
	eventBufferBytes     = 16 << 20
	// writeTimeout is the time limit for a write of events to a caller that reads slowly.
	writeTimeout = 3 * time.Second
)

var (
	errCallerLeft     = errors.New("the caller closed the connection or reads too slowly")
	errEventTooLong   = errors.New("the stream has more than 1 MiB without a new event")
	errEventBudget    = errors.New("too many streams have long parts of events")
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
	// budget limits the memory for parts of events, of all streams together.
	budget *semaphore.Weighted
	// lastEvent is the identifier of the last relayed event. lastID is the last numeric identifier, or -1.
	lastEvent string
	lastID    int64
	// withoutProgress is the number of bytes since the last new identifier.
	withoutProgress int
	pauses          pauses
	// onEventTime gets the usual time between two events now and then.
	onEventTime func(time.Duration)
}

func newEventBudget() *semaphore.Weighted { return semaphore.NewWeighted(eventBufferBytes) }

// newEventRelay returns the relay of a stream that begins after an event of it that the caller has, or at its first event if
// that is "".
func newEventRelay(c *app.RequestContext, budget *semaphore.Weighted, after string) *eventRelay {
	writer := resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())
	c.Response.HijackWriter(writer)
	r := &eventRelay{conn: c.GetConn(), writer: writer, budget: budget, lastID: -1}
	if id, err := strconv.ParseInt(after, 10, 64); err == nil {
		r.lastID = id
	}
	return r
}

// copy relays events until the stream ends. It skips events that an earlier attempt relayed. EndsWithConnection means that
// the end of the connection is the only end of the stream.
func (r *eventRelay) copy(body io.Reader, endsWithConnection bool) error {
	part := partialEvent{budget: r.budget}
	defer part.release()
	empty := true
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		r.withoutProgress += n
		empty = empty && n == 0
		whole, appendErr := part.append(buffer[:n])
		if len(whole) > 0 {
			if writeErr := r.write(whole); writeErr != nil {
				return writeErr
			}
		}
		switch {
		case errors.Is(err, io.EOF) && endsWithConnection && (empty || part.begun()):
			return errBrokenOff
		case errors.Is(err, io.EOF) && part.begun():
			return errTruncatedEvent
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case r.withoutProgress > maxEventBytes:
			return errEventTooLong
		case appendErr != nil:
			return appendErr
		}
	}
}

// partialEvent is the part of a stream after its last whole event.
type partialEvent struct {
	// data begins with the whole events that the last call of append has returned, of which whole is the size.
	data     []byte
	whole    int
	budget   *semaphore.Weighted
	reserved bool
}

// append adds bytes and returns the whole events that they complete, which are valid until the next call. It returns an
// error if the rest is long and there is no memory for it.
func (p *partialEvent) append(read []byte) ([]byte, error) {
	if p.whole > 0 {
		p.data = p.data[:copy(p.data, p.data[p.whole:])]
		p.whole = 0
		p.release()
	}
	// The end of an event may begin with the last byte before.
	searched := max(0, len(p.data)-1)
	p.data = append(p.data, read...)
	if end := bytes.LastIndex(p.data[searched:], []byte("\n\n")); end >= 0 {
		p.whole = searched + end + 2
	}
	if len(p.data) > unreservedEventBytes && !p.reserved {
		if !p.budget.TryAcquire(maxEventBytes) {
			return p.data[:p.whole], errEventBudget
		}
		p.reserved = true
	}
	return p.data[:p.whole], nil
}

// begun reports whether more than white space came after the last whole event.
func (p *partialEvent) begun() bool { return len(bytes.TrimSpace(p.data[p.whole:])) > 0 }

// release gives the memory of a long event back.
func (p *partialEvent) release() {
	if p.reserved {
		p.data = bytes.Clone(p.data)
		p.budget.Release(maxEventBytes)
		p.reserved = false
	}
}

// write writes whole events to the caller without delay.
func (r *eventRelay) write(data []byte) error {
	unsent, events := make([]byte, 0, len(data)), 0
	for len(data) > 0 {
		end := bytes.Index(data, []byte("\n\n")) + 2
		if r.recordIfNew(data[:end]) {
			unsent = append(unsent, data[:end]...)
			events++
		}
		data = data[end:]
	}
	if len(unsent) == 0 {
		return nil
	}
	if usual, ok := r.pauses.record(clock.Now(), events); ok && r.onEventTime != nil {
		r.onEventTime(usual)
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
