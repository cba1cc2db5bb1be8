package openai

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// Text is a text that JSON gives as a string, a list of strings or a list of content parts.
type Text string

type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON decodes any of these forms and joins the texts of a list. Parts without a text count as empty.
func (t *Text) UnmarshalJSON(data []byte) error {
	trimmed := bytes.TrimSpace(data)
	if len(trimmed) == 0 || trimmed[0] != '[' {
		var whole string
		if err := json.Unmarshal(data, &whole); err != nil {
			return errors.New("expected a string or a list of parts")
		}
		*t = Text(whole)
		return nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		return err
	}
	var joined strings.Builder
	for _, item := range items {
		text, err := partText(item)
		if err != nil {
			return err
		}
		joined.WriteString(text)
	}
	*t = Text(joined.String())
	return nil
}

func partText(item json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(item, &text) == nil {
		return text, nil
	}
	var p part
	if err := json.Unmarshal(item, &p); err != nil {
		return "", errors.New("expected a string or a part with a text")
	}
	return p.Text, nil
}
