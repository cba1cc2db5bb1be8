package entry

import (
	"bytes"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/tidwall/gjson"

	"github.com/zinniaroute/zinniaroute/protocol/openai"
)

// FuzzBody checks that each body either fails to parse or stays valid JSON after a field is set.
func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"model":"crest","messages":[{"role":"user","content":"an owl"}],"max_tokens":4}`))
	f.Add([]byte(`{"model":"crest","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Add([]byte(`{"model":"crest","prompt":["a","b"],"n":2}`))
	f.Add([]byte(`{"model":"a","model":"b","messages":[{}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, path := range []string{openai.ChatPath, openai.CompletionsPath} {
			r := &modelRequest{path: path, body: data, chat: path == openai.ChatPath}
			if r.parse() != nil {
				continue
			}
			r.setField("model", "other")
			if !gjson.ValidBytes(r.body) {
				t.Fatalf("%q becomes %q", data, r.body)
			}
			r.fingerprint()
		}
	})
}

// FuzzStream checks that any bytes from an endpoint give events or an error, and that relayed events are valid JSON.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"choices\":[{\"text\":\"x\",\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":1}}\n\n"))
	f.Add([]byte("data: {\"error\":{\"message\":\"x\"}}\n\n"))
	f.Add([]byte("event: x\r\ndata\r\n\r\n:\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		response := &protocol.Response{}
		response.Header.SetContentTypeBytes([]byte("text/event-stream"))
		response.SetBodyStream(bytes.NewReader(data), -1)
		reader, err := sse.NewReader(response)
		if err != nil {
			t.Fatal(err)
		}
		first, resumed := &relay{}, &relay{id: "a", created: 1, earlierTokens: 3}
		event := sse.NewEvent()
		for reader.Read(event) == nil {
			for _, r := range []*relay{first, resumed} {
				passed, err := r.rewriteEvent(event.Data)
				if err == nil && !gjson.ValidBytes(passed) {
					t.Fatalf("%q becomes %q", event.Data, passed)
				}
			}
		}
	})
}
