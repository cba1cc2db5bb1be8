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
	// produced is the number of tokens that earlier endpoints delivered. It is zero before the first resumption.
	produced int
	from     string
	body     []byte
	// finished reports whether a finish reason has arrived, which comes with the last token.
	finished bool
}

var (
	errCallerGone = errors.New("the caller has disconnected")
	errNoEnd      = errors.New("the stream ended without its terminator")
)

// stream relays events until the terminator. If the stream is truncated, it prepares to resume it on another endpoint.
func (m *modelRun) stream(ctx context.Context) lifecycle.Event {
	reader, err := sse.NewReader(m.call.Response)
	if err != nil {
		m.call.Abort()
		return m.broken(err)
	}
	reader.SetMaxBufferSize(maxEventBytes)
	stall := time.AfterFunc(m.entry.settings.StallLimit.Duration, m.cancel)
	defer stall.Stop()
	m.openRelay()
	err = m.relayEvents(reader, stall)
	if err == nil {
		drain(m.call)
		return lifecycle.Completed{}
	}
	m.call.Abort()
	if errors.Is(err, errCallerGone) || m.endFinished() {
		return lifecycle.Completed{}
	}
	if ctx.Err() != nil {
		m.last = expired(ctx, true)
		return lifecycle.Truncated{}
	}
	return m.broken(err)
}

// endFinished sends the terminator if it is all that is missing. It reports whether the terminator was sent.
func (m *modelRun) endFinished() bool {
	options := m.request.parsed.StreamOptions
	usageDue := options != nil && options.IncludeUsage
	if !m.relay.finished || usageDue || m.request.parsed.Choices > 1 {
		return false
	}
	return m.deliver([]byte(openai.Done)) == nil
}

// drain reads the rest of a body after the terminator, so that the connection can be reused.
func drain(call *httpcall.Exchange) {
	if _, err := io.Copy(io.Discard, io.LimitReader(call.Body(), maxEventBytes)); err != nil {
		call.Abort()
		return
	}
	call.Done()
}

func (m *modelRun) openRelay() {
	endpoint := m.endpoint
	if m.relay != nil {
		m.noteResumed(m.relay.from, endpoint.name, m.relay.tokens)
		m.relay.from = endpoint.name
		m.relay.produced = m.relay.tokens
		return
	}
	rc := m.exchange.rc
	rc.Header(caller.HeaderRunner, endpoint.name)
	m.relay = &relay{writer: sse.NewWriter(rc), from: endpoint.name, body: m.request.body}
}

func (m *modelRun) relayEvents(reader *sse.Reader, stall *time.Timer) error {
	began := m.relay.tokens
	event := sse.NewEvent()
	defer event.Release()
	for {
		if err := reader.Read(event); err != nil {
			if errors.Is(err, io.EOF) {
				return errNoEnd
			}
			return err
		}
		stall.Reset(m.entry.settings.StallLimit.Duration)
		if string(event.Data) == openai.Done {
			return m.deliver(event.Data)
		}
		data, err := m.relay.take(event.Data)
		if err != nil {
			return err
		}
		if m.relay.tokens == began+provedTokens {
			m.proved = true
			m.entry.table.proved(m.print, m.endpoint.name)
		}
		if err := m.deliver(data); err != nil {
			return err
		}
	}
}

func (m *modelRun) deliver(data []byte) error {
	_ = m.exchange.rc.GetConn().SetWriteTimeout(writeTimeout)
	if err := m.relay.writer.WriteEvent("", "", data); err != nil {
		return errCallerGone
	}
	tokensTotal.Add(1)
	return nil
}

// part holds the fields of an event that a relay uses.
type part struct {
	id       string
	created  int64
	text     string
	finished bool
	usage    gjson.Result
	failed   string
}

// readPart parses the fields of an event in one pass.
func readPart(data []byte) part {
	var p part
	gjson.ParseBytes(data).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "id":
			p.id = value.Str
		case "created":
			p.created = value.Int()
		case "choices":
			p.readChoice(value)
		case "usage":
			p.usage = value
		case "error":
			p.failed = value.Get("message").String()
		}
		return true
	})
	return p
}

// readChoice reads the first choice. Only an answer with a single choice can be resumed.
func (p *part) readChoice(choices gjson.Result) {
	choices.ForEach(func(_, choice gjson.Result) bool {
		choice.ForEach(func(key, value gjson.Result) bool {
			switch key.Str {
			case "delta":
				p.text = value.Get("content").String()
			case "text":
				p.text = value.String()
			case "finish_reason":
				p.finished = value.Type == gjson.String
			}
			return true
		})
		return false
	})
}

// take records the text of an event and returns the event to relay. In a resumed stream it rewrites the event.
func (r *relay) take(data []byte) ([]byte, error) {
	if !gjson.ValidBytes(data) {
		return nil, errors.New("the endpoint sent an event that is not valid JSON")
	}
	p := readPart(data)
	if p.failed != "" {
		return nil, errors.Errorf("the endpoint broke off: %s", p.failed)
	}
	if p.text != "" {
		r.text.WriteString(p.text)
		r.tokens++
	}
	r.finished = r.finished || p.finished
	if r.id == "" {
		r.id, r.created = p.id, p.created
	}
	if r.produced == 0 {
		return data, nil
	}
	return r.rewrite(data, p.usage)
}

// rewrite sets the ID and creation time of the answer's first event, and adds the tokens of earlier endpoints to the
// usage.
func (r *relay) rewrite(data []byte, usage gjson.Result) ([]byte, error) {
	data, err := sjson.SetBytes(data, "id", r.id)
	if err == nil {
		data, err = sjson.SetBytes(data, "created", r.created)
	}
	if err == nil && usage.IsObject() {
		completion := usage.Get("completion_tokens").Int() + int64(r.produced)
		total := usage.Get("prompt_tokens").Int() + completion
		data, err = sjson.SetBytes(data, "usage.completion_tokens", completion)
		if err == nil {
			data, err = sjson.SetBytes(data, "usage.total_tokens", total)
		}
	}
	return data, errors.Wrap(err, "rewrite event")
}

// broken prepares the resumption of a truncated stream, or sets the failure that ends it.
func (m *modelRun) broken(cause error) lifecycle.Event {
	m.last = &failure{
		status:     statusBadGateway,
		kind:       openai.TypeServer,
		code:       codeBroken,
		message:    "endpoint " + m.endpoint.name + ": " + cause.Error(),
		outcome:    caller.Unknown,
		retryAfter: retryShortly,
		lost:       true,
	}
	if err := m.prepareResumption(); err != nil {
		m.last.message += "; " + err.Error()
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
	body, err := m.continued(r.body, r.text.String())
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

func (m *modelRun) continued(body []byte, text string) ([]byte, error) {
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
