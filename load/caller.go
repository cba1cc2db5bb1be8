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
	statusOK          = 200
	maxAnswerBytes    = 4 << 20
	callerDialTimeout = 2 * time.Second
)

// Outcomes of a request that the caller determines. All others come from the outcome header of the entry.
const (
	outcomeComplete  = "whole"
	outcomeTruncated = "broken"
	outcomeFailed    = "failed"
)

// call holds the timing and outcome of one request as its caller observes them.
type call struct {
	dueAt          time.Time
	firstToken     time.Duration
	tokenIntervals []time.Duration
	total          time.Duration
	tokens         int
	outcome        string
}

// streamAnswer requests a streamed answer and reads it to its end.
func streamAnswer(ctx context.Context, client *httpcall.Client, address netip.AddrPort, c *call, request openai.Request) {
	c.outcome = outcomeFailed
	body, err := json.Marshal(request)
	if err != nil {
		return
	}
	exchange, err := client.Start(ctx, address, httpcall.NewRequest("POST", address, openai.ChatPath, body), httpcall.Options{})
	if err != nil {
		return
	}
	if exchange.Response.StatusCode() != statusOK {
		c.outcome = string(exchange.Response.Header.Peek(caller.HeaderOutcome))
		_, _ = exchange.ReadAll(ctx, maxAnswerBytes)
		return
	}
	reader, err := sse.NewReader(exchange.Response)
	if err == nil {
		err = c.readEvents(reader)
	}
	if err != nil {
		c.outcome = outcomeTruncated
		exchange.Abort()
		return
	}
	c.outcome = outcomeComplete
	c.total = time.Since(c.dueAt)
	_, _ = io.Copy(io.Discard, exchange.Body())
	exchange.Done()
}

var errNoTerminator = errors.New("the stream ended without the [DONE] event")

func (c *call) readEvents(reader *sse.Reader) error {
	event := sse.NewEvent()
	defer event.Release()
	last := c.dueAt
	for {
		if err := reader.Read(event); err != nil {
			return errors.Wrap(errNoTerminator, err.Error())
		}
		if string(event.Data) == openai.StreamEnd {
			return nil
		}
		now := time.Now()
		if c.tokens == 0 {
			c.firstToken = now.Sub(c.dueAt)
		} else {
			c.tokenIntervals = append(c.tokenIntervals, now.Sub(last))
		}
		last = now
		c.tokens++
	}
}

// sendBooking sends one booking with its own idempotency key.
func sendBooking(ctx context.Context, client *httpcall.Client, address netip.AddrPort, c *call, route, key string) {
	c.outcome = outcomeFailed
	request := httpcall.NewRequest("POST", address, caller.ServicesPath+route+"/hold", []byte(key))
	request.Header.Set(caller.HeaderIdempotencyKey, key)
	exchange, err := client.Start(ctx, address, request, httpcall.Options{})
	if err != nil {
		return
	}
	status := exchange.Response.StatusCode()
	outcome := string(exchange.Response.Header.Peek(caller.HeaderOutcome))
	if _, err := exchange.ReadAll(ctx, maxAnswerBytes); err != nil {
		c.outcome = outcomeTruncated
		return
	}
	c.outcome = outcome
	if status == statusOK {
		c.outcome = outcomeComplete
		c.total = time.Since(c.dueAt)
	}
}
