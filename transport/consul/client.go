package consul

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/keyvalue"
	"github.com/zinniaroute/zinniaroute/protocol/platform"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
)

const (
	dialTimeout = time.Second
	callTimeout = 3 * time.Second
	// watchGrace is the time that the answer to a watch may take after the watch's wait time has ended.
	watchGrace       = 5 * time.Second
	maxResponseBytes = 16 << 20
	statusOK         = 200
	statusNotFound   = 404
)

// Client calls the Consul KV HTTP API at one address.
type Client struct {
	http    *httpcall.Client
	address netip.AddrPort
	calls   atomic.Uint64
	writes  atomic.Uint64
}

// NewClient returns a client for the key-value service at an address. It connects with the first call.
func NewClient(address netip.AddrPort) *Client {
	return &Client{http: httpcall.NewClient(dialTimeout), address: address}
}

// Calls returns the number of calls made so far, and how many of them were writes.
func (c *Client) Calls() (calls, writes uint64) { return c.calls.Load(), c.writes.Load() }

// Get reads a key. If the key does not exist, the entry has index zero.
func (c *Client) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	return c.read(ctx, platform.KVPath+key, callTimeout)
}

// Watch reads a key as soon as its index is higher than after, or when the wait time ends.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (keyvalue.Entry, error) {
	uri := fmt.Sprintf("%s%s?%s=%d&%s=%dms",
		platform.KVPath, key, platform.ParamIndex, after, platform.ParamWait, wait.Milliseconds())
	return c.read(ctx, uri, wait+watchGrace)
}

func (c *Client) read(ctx context.Context, uri string, timeout time.Duration) (keyvalue.Entry, error) {
	c.calls.Add(1)
	request := httpcall.NewRequest("GET", c.address, uri, nil)
	result, err := c.http.Fetch(ctx, c.address, request, timeout, maxResponseBytes)
	if err != nil {
		return keyvalue.Entry{}, errors.Wrap(err, "read key")
	}
	waitIndex, _ := strconv.ParseUint(result.Header.Get(platform.IndexHeader), 10, 64)
	switch result.Status {
	case statusNotFound:
		return keyvalue.Entry{WaitIndex: waitIndex}, nil
	case statusOK:
		return decodeEntry(result.Body, waitIndex)
	default:
		return keyvalue.Entry{}, errors.Errorf("read key: status %d", result.Status)
	}
}

func decodeEntry(body []byte, waitIndex uint64) (keyvalue.Entry, error) {
	var pairs []platform.Pair
	if err := json.Unmarshal(body, &pairs); err != nil {
		return keyvalue.Entry{}, errors.Wrap(err, "read key: decode response")
	}
	if len(pairs) != 1 {
		return keyvalue.Entry{}, errors.Errorf("read key: response holds %d pairs instead of one", len(pairs))
	}
	pair := pairs[0]
	return keyvalue.Entry{Value: pair.Value, Index: pair.ModifyIndex, WaitIndex: waitIndex}, nil
}

// List returns all keys that start with a prefix, or none if there are none.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Pair, error) {
	c.calls.Add(1)
	uri := platform.KVPath + prefix + "?" + platform.ParamRecurse + "=true"
	request := httpcall.NewRequest("GET", c.address, uri, nil)
	result, err := c.http.Fetch(ctx, c.address, request, callTimeout, maxResponseBytes)
	if err != nil {
		return nil, errors.Wrap(err, "list keys")
	}
	if result.Status == statusNotFound {
		return nil, nil
	}
	if result.Status != statusOK {
		return nil, errors.Errorf("list keys: status %d", result.Status)
	}
	var pairs []platform.Pair
	err = json.Unmarshal(result.Body, &pairs)
	return pairs, errors.Wrap(err, "list keys: decode response")
}

// CompareAndSwap writes a key if its index equals expected. If expected is zero, the key must not exist.
func (c *Client) CompareAndSwap(
	ctx context.Context,
	key string,
	value []byte,
	expected uint64,
) (keyvalue.Outcome, error) {
	uri := fmt.Sprintf("%s%s?%s=%d", platform.KVPath, key, platform.ParamCAS, expected)
	return c.write(ctx, httpcall.NewRequest("PUT", c.address, uri, value))
}

// Delete removes a key if its index equals expected.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) (keyvalue.Outcome, error) {
	uri := fmt.Sprintf("%s%s?%s=%d", platform.KVPath, key, platform.ParamCAS, expected)
	return c.write(ctx, httpcall.NewRequest("DELETE", c.address, uri, nil))
}

func (c *Client) write(ctx context.Context, request *protocol.Request) (keyvalue.Outcome, error) {
	c.calls.Add(1)
	c.writes.Add(1)
	result, err := c.http.Fetch(ctx, c.address, request, callTimeout, maxResponseBytes)
	if err != nil {
		return failedWriteOutcome(err), errors.Wrap(err, "write key")
	}
	if result.Status != statusOK {
		return keyvalue.Unknown, errors.Errorf("write key: status %d", result.Status)
	}
	var applied bool
	if err := json.Unmarshal(result.Body, &applied); err != nil {
		return keyvalue.Unknown, errors.Wrap(err, "write key: decode response")
	}
	if !applied {
		return keyvalue.Conflict, nil
	}
	return keyvalue.Applied, nil
}

// failedWriteOutcome returns NotSent only if the request was certainly not sent.
func failedWriteOutcome(err error) keyvalue.Outcome {
	if !httpcall.WasSent(err) {
		return keyvalue.NotSent
	}
	return keyvalue.Unknown
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.Close() }
