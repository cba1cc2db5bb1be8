package entry

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
)

const (
	maxEventBytes = 1 << 20
	writeTimeout  = 30 * time.Second
)

// relay relays the events of a streamed answer to the caller and holds what another endpoint needs to resume it.
type relay struct {
	writer  *sse.Writer
	id      string
	created int64
	text    strings.Builder
	tokens  int
	// earlierTokens is the number of tokens that earlier endpoints delivered. It is zero before the first resumption.
	earlierTokens int
	endpoint      string
	// requestBody is the body of the first attempt. A resumption adds the delivered text to it.
	requestBody []byte
	// finished reports whether a finish reason has arrived, which comes with the last token.
	finished bool
}

var (
	errCallerLeft   = errors.New("the caller has disconnected")
	errNoTerminator = errors.New("the stream ended without its terminator")
)

// relayStream relays events until the terminator. If the stream is truncated, it prepares to resume it on another
// endpoint.
func (m *modelRun) relayStream(ctx context.Context) lifecycle.Event {
	reader, err := sse.NewReader(m.call.Response)
	if err != nil {
		m.call.Abort()
		return m.handleTruncation(err)
	}
	reader.SetMaxBufferSize(maxEventBytes)
	stallTimer := time.AfterFunc(m.entry.settings.StallLimit.Duration, m.cancel)
	defer stallTimer.Stop()
	m.openRelay()
	err = m.relayEvents(reader, stallTimer)
	if err == nil {
		drainBody(m.call)
		return lifecycle.Completed{}
	}
	m.call.Abort()
	if errors.Is(err, errCallerLeft) || m.sendMissingTerminator() {
		return lifecycle.Completed{}
	}
	if ctx.Err() != nil {
		m.lastFailure = expiryFailure(ctx, true)
		return lifecycle.Truncated{}
	}
	return m.handleTruncation(err)
}

// sendMissingTerminator sends the terminator if it is all that is missing. It reports whether the terminator was sent.
func (m *modelRun) sendMissingTerminator() bool {
	options := m.request.parsed.StreamOptions
	usageDue := options != nil && options.IncludeUsage
	if !m.relay.finished || usageDue || m.request.parsed.Choices > 1 {
		return false
	}
	return m.deliver([]byte(openai.StreamEnd)) == nil
}

// drainBody reads the rest of a body after the terminator, so that the connection can be reused.
func drainBody(call *httpcall.Exchange) {
	if _, err := io.Copy(io.Discard, io.LimitReader(call.Body(), maxEventBytes)); err != nil {
		call.Abort()
		return
	}
	call.Done()
}

func (m *modelRun) openRelay() {
	endpoint := m.endpoint
	if m.relay != nil {
		m.recordResumed(m.relay.endpoint, endpoint.name, m.relay.tokens)
		m.relay.endpoint = endpoint.name
		m.relay.earlierTokens = m.relay.tokens
		return
	}
	rc := m.exchange.requestContext
	rc.Header(caller.HeaderRunner, endpoint.name)
	m.relay = &relay{writer: sse.NewWriter(rc), endpoint: endpoint.name, requestBody: m.request.body}
}

func (m *modelRun) relayEvents(reader *sse.Reader, stallTimer *time.Timer) error {
	tokensBefore := m.relay.tokens
	event := sse.NewEvent()
	defer event.Release()
	for {
		if err := reader.Read(event); err != nil {
			if errors.Is(err, io.EOF) {
				return errNoTerminator
			}
			return err
		}
		stallTimer.Reset(m.entry.settings.StallLimit.Duration)
		if string(event.Data) == openai.StreamEnd {
			return m.deliver(event.Data)
		}
		data, err := m.relay.rewriteEvent(event.Data)
		if err != nil {
			return err
		}
		if m.relay.tokens == tokensBefore+probationTokens {
			m.entry.table.endProbation(m.fingerprint, m.endpoint.name)
		}
		if err := m.deliver(data); err != nil {
			return err
		}
	}
}

func (m *modelRun) deliver(data []byte) error {
	_ = m.exchange.requestContext.GetConn().SetWriteTimeout(writeTimeout)
	if err := m.relay.writer.WriteEvent("", "", data); err != nil {
		return errCallerLeft
	}
	streamEventsTotal.Add(1)
	return nil
}

// streamEvent holds the fields of an event that a relay uses.
type streamEvent struct {
	id           string
	created      int64
	text         string
	finished     bool
	usage        gjson.Result
	errorMessage string
}

// parseStreamEvent parses the fields of an event in one pass.
func parseStreamEvent(data []byte) streamEvent {
	var e streamEvent
	gjson.ParseBytes(data).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "id":
			e.id = value.Str
		case "created":
			e.created = value.Int()
		case "choices":
			e.readChoice(value)
		case "usage":
			e.usage = value
		case "error":
			e.errorMessage = value.Get("message").String()
		}
		return true
	})
	return e
}

// readChoice reads the first choice. Only an answer with a single choice can be resumed.
func (e *streamEvent) readChoice(choices gjson.Result) {
	choices.ForEach(func(_, choice gjson.Result) bool {
		choice.ForEach(func(key, value gjson.Result) bool {
			switch key.Str {
			case "delta":
				e.text = value.Get("content").String()
			case "text":
				e.text = value.String()
			case "finish_reason":
				e.finished = value.Type == gjson.String
			}
			return true
		})
		return false
	})
}

// rewriteEvent records the text of an event and returns the event to relay. In a resumed stream it rewrites the event.
func (r *relay) rewriteEvent(data []byte) ([]byte, error) {
	if !gjson.ValidBytes(data) {
		return nil, errors.New("the endpoint sent an event that is not valid JSON")
	}
	e := parseStreamEvent(data)
	if e.errorMessage != "" {
		return nil, errors.Errorf("the endpoint broke off: %s", e.errorMessage)
	}
	if e.text != "" {
		r.text.WriteString(e.text)
		r.tokens++
	}
	r.finished = r.finished || e.finished
	if r.id == "" {
		r.id, r.created = e.id, e.created
	}
	if r.earlierTokens == 0 {
		return data, nil
	}
	return r.rewriteResumed(data, e.usage)
}

// rewriteResumed sets the ID and creation time of the answer's first event, and adds the tokens of earlier endpoints to
// the usage.
func (r *relay) rewriteResumed(data []byte, usage gjson.Result) ([]byte, error) {
	data, err := sjson.SetBytes(data, "id", r.id)
	if err == nil {
		data, err = sjson.SetBytes(data, "created", r.created)
	}
	if err == nil && usage.IsObject() {
		completion := usage.Get("completion_tokens").Int() + int64(r.earlierTokens)
		total := usage.Get("prompt_tokens").Int() + completion
		data, err = sjson.SetBytes(data, "usage.completion_tokens", completion)
		if err == nil {
			data, err = sjson.SetBytes(data, "usage.total_tokens", total)
		}
	}
	return data, errors.Wrap(err, "rewrite event")
}

// handleTruncation prepares the resumption of a truncated stream, or sets the failure that ends it.
func (m *modelRun) handleTruncation(cause error) lifecycle.Event {
	m.lastFailure = &failure{
		status:         statusBadGateway,
		errorType:      openai.TypeServer,
		code:           codeAnswerBroken,
		message:        "endpoint " + m.endpoint.name + ": " + cause.Error(),
		outcome:        caller.Unknown,
		retryAfter:     defaultRetryAfter,
		connectionLost: true,
	}
	if err := m.prepareResumption(); err != nil {
		m.lastFailure.message += "; " + err.Error()
		return lifecycle.Truncated{}
	}
	return lifecycle.Truncated{Resumable: true}
}

// prepareResumption sets the request body with which another endpoint continues after the text that was delivered.
// Source: vLLM documentation, "continue_final_message" of the chat completions API.
func (m *modelRun) prepareResumption() error {
	r := m.relay
	if r == nil || r.tokens == 0 {
		return nil
	}
	if r.finished {
		return errors.New("the answer's usage is missing")
	}
	if m.request.parsed.Choices > 1 {
		return errors.New("an answer with several choices cannot be resumed")
	}
	body, err := m.resumedBody(r.requestBody, r.text.String())
	if err != nil {
		return err
	}
	if limit := m.request.parsed.MaxTokens; limit > 0 {
		body, err = sjson.SetBytes(body, "max_tokens", max(1, limit-r.tokens))
		if err != nil {
			return errors.Wrap(err, "resume")
		}
	}
	m.request.body = body
	return nil
}

func (m *modelRun) resumedBody(body []byte, text string) ([]byte, error) {
	if !m.request.chat {
		body, err := sjson.SetBytes(body, "prompt", string(m.request.parsed.Prompt)+text)
		return body, errors.Wrap(err, "resume")
	}
	message, err := json.Marshal(openai.Message{Role: "assistant", Content: openai.Text(text)})
	if err != nil {
		return nil, errors.Wrap(err, "resume")
	}
	body, err = sjson.SetRawBytes(body, "messages.-1", message)
	if err == nil {
		body, err = sjson.SetBytes(body, "continue_final_message", true)
	}
	if err == nil {
		body, err = sjson.SetBytes(body, "add_generation_prompt", false)
	}
	return body, errors.Wrap(err, "resume")
}

// endStream sends the failure as the last event of an open stream, without the terminator.
func (m *modelRun) endStream(f *failure) {
	data, err := json.Marshal(f.body(m.exchange.id))
	if err != nil {
		return
	}
	_ = m.relay.writer.WriteEvent("", "error", data)
}
