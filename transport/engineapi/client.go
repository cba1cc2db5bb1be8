package engineapi

import (
	"context"
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/protocol/engine"
	"github.com/zinniaroute/zinniaroute/state/ledger"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
)

const (
	readTimeout = 2 * time.Second
	// orderTimeout bounds a load order, which the engine answers only after it has fetched the weights.
	orderTimeout     = 5 * time.Minute
	maxResponseBytes = 4 << 20
	statusOK         = 200
)

// reusedUnlessRefused closes the connection of a refused call. Engines name no call in their answers.
var reusedUnlessRefused = httpcall.Options{CloseRefused: true}

// Client calls the HTTP API of model engines.
type Client struct {
	http *httpcall.Client
}

// NewClient returns a client whose connection attempts fail after dialTimeout.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{http: httpcall.NewClient(dialTimeout)}
}

// Index returns the items that an engine holds, and the engine's incarnation, which changes when the engine restarts.
func (c *Client) Index(ctx context.Context, address netip.AddrPort) ([]ledger.IndexEntry, string, error) {
	request := httpcall.NewRequest("POST", address, engine.IndexPath, []byte("{}"))
	result, err := c.http.FetchWith(ctx, address, request, readTimeout, maxResponseBytes, reusedUnlessRefused)
	if err != nil {
		return nil, "", errors.Wrap(err, "read engine index")
	}
	if result.Status != statusOK {
		return nil, "", errors.Errorf("read engine index: status %d", result.Status)
	}
	var entries []ledger.IndexEntry
	if err := json.Unmarshal(result.Body, &entries); err != nil {
		return nil, "", errors.Wrap(err, "decode engine index")
	}
	return entries, result.Header.Get(engine.IncarnationHeader), nil
}

// Report returns the load report of an engine.
func (c *Client) Report(ctx context.Context, address netip.AddrPort) (engine.Report, error) {
	request := httpcall.NewRequest("GET", address, engine.ReportPath, nil)
	result, err := c.http.FetchWith(ctx, address, request, readTimeout, maxResponseBytes, reusedUnlessRefused)
	if err != nil {
		return engine.Report{}, errors.Wrap(err, "read load report")
	}
	if result.Status != statusOK {
		return engine.Report{}, errors.Errorf("read load report: status %d", result.Status)
	}
	var report engine.Report
	err = json.Unmarshal(result.Body, &report)
	return report, errors.Wrap(err, "decode load report")
}

// Send sends an order on a new connection and returns its outcome, with the reason if the order was not confirmed. The
// outcome is Unknown if the request may have reached the engine and no usable answer came back.
func (c *Client) Send(ctx context.Context, address netip.AddrPort, order ledger.Order) (ledger.Result, string) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(engine.OrderRequest{Parameters: parametersOf(order)})
	if err != nil {
		return ledger.Refused, err.Error()
	}
	request := httpcall.NewRequest("POST", address, pathOf(order), body)
	exchange, err := c.http.Start(ctx, address, request, httpcall.Options{Fresh: true, ResetAtExit: true})
	if err != nil {
		return failedResult(err), err.Error()
	}
	response, err := exchange.ReadAll(ctx, maxResponseBytes)
	if err != nil {
		return ledger.Unknown, err.Error()
	}
	return orderResult(exchange.Response.StatusCode(), response)
}

// failedResult returns Refused only if the request was certainly not sent.
func failedResult(err error) ledger.Result {
	if !httpcall.WasSent(err) {
		return ledger.Refused
	}
	return ledger.Unknown
}

func orderResult(status int, body []byte) (ledger.Result, string) {
	var refusal engine.ErrorResponse
	_ = json.Unmarshal(body, &refusal)
	switch {
	case status == statusOK:
		return ledger.Confirmed, ""
	case status == engine.StatusStaleFence:
		return ledger.StaleFence, refusal.Error
	case status == engine.StatusNoMemory, status == engine.StatusNotFound, status == engine.StatusBadOrder:
		return ledger.Refused, refusal.Error
	default:
		return ledger.Unknown, "status " + strconv.Itoa(status)
	}
}

// pathOf returns the path of an order. A fence order is an unload of a name that no engine holds.
func pathOf(order ledger.Order) string {
	suffix := engine.UnloadSuffix
	if order.Verb == ledger.VerbLoad {
		suffix = engine.LoadSuffix
	}
	return engine.ModelsPath + order.Item.Name + suffix
}

func parametersOf(order ledger.Order) engine.OrderParameters {
	indices := make([]string, 0, len(order.Item.Accelerators))
	for _, accelerator := range order.Item.Accelerators {
		indices = append(indices, strconv.Itoa(accelerator))
	}
	return engine.OrderParameters{
		Fence:        order.Fence,
		Order:        order.ID,
		Kind:         order.Item.Kind,
		Base:         order.Item.Base,
		Weights:      order.Item.Weights,
		MemoryMiB:    order.Item.MemoryMiB,
		Accelerators: strings.Join(indices, ","),
	}
}
