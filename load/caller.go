package load

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
)

const (
	statusOK        = 200
	maxAnswerBytes  = 4 << 20
	callerDialLimit = 2 * time.Second
)

// Outcomes of a request that the caller determines. All others come from the outcome header of the entry.
const (
	endWhole  = "whole"
	endBroken = "broken"
	endFailed = "failed"
)

// call holds the timing and outcome of one request as its caller observes them.
type call struct {
	due        time.Time
	firstToken time.Duration
	gaps       []time.Duration
	whole      time.Duration
	tokens     int
	end        string
}

// stream requests a streamed answer and reads it to its end.
func stream(ctx context.Context, client *httpcall.Client, address netip.AddrPort, c *call, request openai.Request) {
	c.end = endFailed
	body, err := json.Marshal(request)
	if err != nil {
		return
	}
	exchange, err := client.Start(ctx, address, httpcall.NewRequest("POST", address, openai.ChatPath, body), httpcall.Options{})
	if err != nil {
		return
	}
	if exchange.Response.StatusCode() != statusOK {
		c.end = string(exchange.Response.Header.Peek(caller.HeaderOutcome))
		_, _ = exchange.ReadAll(maxAnswerBytes)
		return
	}
	reader, err := sse.NewReader(exchange.Response)
	if err == nil {
		err = c.read(reader)
	}
	if err != nil {
		c.end = endBroken
		exchange.Abort()
		return
	}
	c.end = endWhole
	c.whole = time.Since(c.due)
	_, _ = io.Copy(io.Discard, exchange.Body())
	exchange.Done()
}

var errNoEnd = errors.New("the stream ended without the [DONE] event")

func (c *call) read(reader *sse.Reader) error {
	event := sse.NewEvent()
	defer event.Release()
	last := c.due
	for {
		if err := reader.Read(event); err != nil {
			return errors.Wrap(errNoEnd, err.Error())
		}
		if string(event.Data) == openai.Done {
			return nil
		}
		now := time.Now()
		if c.tokens == 0 {
			c.firstToken = now.Sub(c.due)
		} else {
			c.gaps = append(c.gaps, now.Sub(last))
		}
		last = now
		c.tokens++
	}
}

// book sends one booking with its own idempotency key.
func book(ctx context.Context, client *httpcall.Client, address netip.AddrPort, c *call, route, key string) {
	c.end = endFailed
	request := httpcall.NewRequest("POST", address, caller.ServicesPath+route+"/hold", []byte(key))
	request.Header.Set(caller.HeaderIdempotencyKey, key)
	exchange, err := client.Start(ctx, address, request, httpcall.Options{})
	if err != nil {
		return
	}
	status := exchange.Response.StatusCode()
	outcome := string(exchange.Response.Header.Peek(caller.HeaderOutcome))
	if _, err := exchange.ReadAll(maxAnswerBytes); err != nil {
		c.end = endBroken
		return
	}
	c.end = outcome
	if status == statusOK {
		c.end = endWhole
		c.whole = time.Since(c.due)
	}
}
