// Package openai defines the parts of the OpenAI-compatible HTTP API that callers and engines use.
package openai
