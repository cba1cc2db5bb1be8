package engine

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaroute/zinniaroute/protocol/openai"
)

const defaultMaxTokens = 32

// generation generates the tokens of one choice. The same model, prompt and choice always give the same tokens.
type generation struct {
	seed         uint64
	position     int
	end          int
	promptTokens int
}

func newGeneration(request *openai.Request, choice int) *generation {
	messages := request.Messages
	produced := 0
	if request.ContinueFinalMessage && len(messages) > 0 {
		final := messages[len(messages)-1]
		messages = messages[:len(messages)-1]
		produced = len(strings.Fields(string(final.Content)))
	}
	hash := xxhash.New()
	prompt, continued := splitContinued(string(request.Prompt))
	produced += continued
	promptTokens := len(strings.Fields(prompt))
	_, _ = fmt.Fprintf(hash, "%s|%s|%d", request.Model, prompt, choice)
	for _, message := range messages {
		_, _ = fmt.Fprintf(hash, "|%s:%s", message.Role, message.Content)
		promptTokens += len(strings.Fields(string(message.Content)))
	}
	return &generation{
		seed:         hash.Sum64(),
		position:     produced,
		end:          endPosition(request.MaxTokens, produced),
		promptTokens: promptTokens,
	}
}

func endPosition(limit, produced int) int {
	if limit <= 0 {
		return max(defaultMaxTokens, produced)
	}
	return produced + limit
}

var generatedTail = regexp.MustCompile(`(w[0-9a-f]{4} )+$`)

// splitContinued splits a prompt into the original prompt and the number of generated tokens at its end, which a
// resumed request carries.
func splitContinued(prompt string) (own string, produced int) {
	tail := generatedTail.FindString(prompt)
	return strings.TrimSuffix(prompt, tail), len(strings.Fields(tail))
}

func (g *generation) done() bool { return g.position >= g.end }

// nextToken returns the next token, which ends with a space.
func (g *generation) nextToken() string {
	value := xxhash.Sum64String(fmt.Sprintf("%d/%d", g.seed, g.position))
	g.position++
	return fmt.Sprintf("w%04x ", value&0xffff)
}

// Answer returns the complete text that the stand-in generates for one choice of a request.
func Answer(request *openai.Request, choice int) string {
	g := newGeneration(request, choice)
	var text strings.Builder
	for !g.done() {
		text.WriteString(g.nextToken())
	}
	return text.String()
}
