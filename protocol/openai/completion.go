package openai

// Paths of the API.
const (
	ChatPath        = "/v1/chat/completions"
	CompletionsPath = "/v1/completions"
	ModelsPath      = "/v1/models"
)

// StreamEnd is the data of the event that ends a complete stream.
const StreamEnd = "[DONE]"

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content Text   `json:"content"`
}

// StreamOptions holds the options of a streamed response.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// Request is a request for a chat or text completion, limited to the fields that the project reads.
type Request struct {
	Model                string         `json:"model"`
	Messages             []Message      `json:"messages,omitempty"`
	Prompt               Text           `json:"prompt,omitempty"`
	MaxTokens            int            `json:"max_tokens,omitempty"`
	Choices              int            `json:"n,omitempty"`
	Stream               bool           `json:"stream,omitempty"`
	StreamOptions        *StreamOptions `json:"stream_options,omitempty"`
	ContinueFinalMessage bool           `json:"continue_final_message,omitempty"`
	Priority             int            `json:"priority,omitempty"`
}

// Usage holds the token counts of a response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one alternative of a response: the whole text, or a part of it in a stream.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the text that a stream event adds to a choice.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Object types of responses.
const (
	ObjectChat      = "chat.completion"
	ObjectChatChunk = "chat.completion.chunk"
	ObjectText      = "text_completion"
	ObjectModel     = "model"
	ObjectList      = "list"
)

// Completion is a whole response or one event of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Model is an element of ModelList.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response to a request for ModelsPath.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}
