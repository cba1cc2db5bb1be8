package engine

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/google/uuid"

	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

func (s *Server) complete(ctx context.Context, c *app.RequestContext, chat bool) {
	body, _ := c.Body()
	request := &openai.Request{}
	if err := json.Unmarshal(body, request); err != nil {
		writeFailure(c, statusBadRequest, openai.TypeInvalidRequest, openai.CodeBadJSON, err.Error())
		return
	}
	if s.leaving.Load() {
		writeFailure(c, statusUnavailable, openai.TypeOverloaded, openai.CodeLeaving, "the engine is leaving")
		return
	}
	if !s.memory.isReady(request.Model) {
		writeFailure(c, statusNotFound, openai.TypeNotFound, openai.CodeModelNotFound, "model not loaded: "+request.Model)
		return
	}
	if s.crashIfTriggered(c, request) {
		return
	}
	if !s.acquireSlot(ctx) {
		writeFailure(c, statusTooMany, openai.TypeOverloaded, openai.CodeOverloaded, "the queue is full")
		return
	}
	defer func() { <-s.slots }()
	s.started.Add(1)
	if s.answerInForm(c) {
		return
	}
	run := newRun(s, c, request, chat)
	if request.Stream {
		run.stream(ctx)
		return
	}
	run.respond(ctx)
}

func (s *Server) acquireSlot(ctx context.Context) bool {
	if s.waiting.Add(1) > int64(s.options.Queue) {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeFailure(c *app.RequestContext, status int, kind, code, message string) {
	c.JSON(status, openai.ErrorResponse{Error: openai.Error{Message: message, Type: kind, Code: code}})
}

// run is a completion in progress.
type run struct {
	server      *Server
	context     *app.RequestContext
	request     *openai.Request
	chat        bool
	id          string
	created     int64
	generations []*generation
}

func newRun(s *Server, c *app.RequestContext, request *openai.Request, chat bool) *run {
	r := &run{
		server:  s,
		context: c,
		request: request,
		chat:    chat,
		id:      "cmpl-" + uuid.NewString(),
		created: time.Now().Unix(),
	}
	for choice := range max(1, request.Choices) {
		r.generations = append(r.generations, newGeneration(request, choice))
	}
	return r
}

func (r *run) usage() *openai.Usage {
	usage := &openai.Usage{}
	for _, g := range r.generations {
		usage.PromptTokens = g.promptTokens
		usage.CompletionTokens += g.position
	}
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	return usage
}

func (r *run) completion(object string, choices []openai.Choice) openai.Completion {
	return openai.Completion{
		ID:      r.id,
		Object:  object,
		Created: r.created,
		Model:   r.request.Model,
		Choices: choices,
	}
}

// nextTokens waits for the given time and returns the next token of each choice. It returns false if the context ends
// first.
func (r *run) nextTokens(ctx context.Context, delay time.Duration) ([]string, bool) {
	if !group.Sleep(ctx, delay) {
		r.server.cancelled.Add(1)
		return nil, false
	}
	tokens := make([]string, 0, len(r.generations))
	for _, g := range r.generations {
		tokens = append(tokens, g.nextToken())
	}
	r.server.tokens.Add(int64(len(tokens)))
	return tokens, true
}

func (r *run) done() bool { return r.generations[0].done() }

func (r *run) respond(ctx context.Context) {
	texts := make([]strings.Builder, len(r.generations))
	delay := r.server.options.FirstToken
	for !r.done() {
		tokens, ok := r.nextTokens(ctx, delay)
		if !ok {
			return
		}
		for i, token := range tokens {
			texts[i].WriteString(token)
		}
		delay = r.server.options.BetweenTokens
	}
	object := openai.ObjectText
	choices := make([]openai.Choice, len(texts))
	for i := range texts {
		choices[i] = r.completeChoice(i, texts[i].String())
	}
	if r.chat {
		object = openai.ObjectChat
	}
	answer := r.completion(object, choices)
	answer.Usage = r.usage()
	r.server.finished.Add(1)
	r.context.JSON(statusOK, answer)
}

func (r *run) completeChoice(index int, text string) openai.Choice {
	reason := "length"
	choice := openai.Choice{Index: index, FinishReason: &reason}
	if r.chat {
		choice.Message = &openai.Message{Role: "assistant", Content: openai.Text(text)}
	} else {
		choice.Text = &text
	}
	return choice
}

func (r *run) stream(ctx context.Context) {
	writer := sse.NewWriter(r.context)
	delay := r.server.options.FirstToken
	for !r.done() {
		tokens, ok := r.nextTokens(ctx, delay)
		if !ok {
			_ = r.context.GetConn().Close()
			return
		}
		for i, token := range tokens {
			if !r.writeChunk(writer, r.chunkChoice(i, token)) {
				return
			}
		}
		delay = r.server.options.BetweenTokens
	}
	r.finishStream(writer)
}

func (r *run) chunkChoice(index int, token string) openai.Choice {
	choice := openai.Choice{Index: index}
	if r.done() {
		reason := "length"
		choice.FinishReason = &reason
	}
	if r.chat {
		choice.Delta = &openai.Delta{Content: token}
	} else {
		choice.Text = &token
	}
	return choice
}

func (r *run) object() string {
	if r.chat {
		return openai.ObjectChatChunk
	}
	return openai.ObjectText
}

func (r *run) writeChunk(writer *sse.Writer, choices ...openai.Choice) bool {
	return r.writeEvent(writer, r.completion(r.object(), choices))
}

func (r *run) writeEvent(writer *sse.Writer, completion openai.Completion) bool {
	data, err := json.Marshal(completion)
	if err == nil {
		err = writer.WriteEvent("", "", data)
	}
	if err != nil {
		r.server.cancelled.Add(1)
		return false
	}
	return true
}

func (r *run) finishStream(writer *sse.Writer) {
	options := r.request.StreamOptions
	if options != nil && options.IncludeUsage {
		last := r.completion(r.object(), []openai.Choice{})
		last.Usage = r.usage()
		if !r.writeEvent(writer, last) {
			return
		}
	}
	if writer.WriteEvent("", "", []byte(openai.StreamEnd)) == nil {
		r.server.finished.Add(1)
	}
}
