package operatorapi

import (
	"context"
	"encoding/json"
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/publication"
	"github.com/zinniaroute/zinniaroute/protocol/operator"
	"github.com/zinniaroute/zinniaroute/transport/httpcall"
)

const (
	dialTimeout = time.Second
	readTimeout = 5 * time.Second
	// publishTimeout exceeds the 20 s within which a control ends a publication, so that its result still arrives.
	publishTimeout   = 25 * time.Second
	maxResponseBytes = 64 << 20
	statusOK         = 200
	statusBadRequest = 400
)

// Client calls the controls in order, until one answers.
type Client struct {
	http     *httpcall.Client
	controls []netip.AddrPort
}

// NewClient returns a client for the controls at the given operations addresses.
func NewClient(controls []netip.AddrPort) *Client {
	return &Client{http: httpcall.NewClient(dialTimeout), controls: controls}
}

// ErrNoControls reports that the client has no address of a control.
var ErrNoControls = errors.New("no address of a control is given")

// Publish sends a change. If the answer is lost, or the result is unavailable or unknown, it sends the change to the
// next control with the same change ID, so that the change takes effect at most once.
func (c *Client) Publish(ctx context.Context, request publication.Request) (publication.Result, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return publication.Result{}, errors.Wrap(err, "encode change")
	}
	var result publication.Result
	err = c.tryControls(func(address netip.AddrPort) error {
		call := httpcall.NewRequest("POST", address, operator.ChangesPath, body)
		response, err := c.http.Fetch(ctx, address, call, publishTimeout, maxResponseBytes)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(response.Body, &result); err != nil {
			return errors.Wrap(err, "decode result")
		}
		if result.Status == publication.StatusUnavailable || result.Status == publication.StatusUnknown {
			return errors.Errorf("%s: %s", result.Status, result.Message)
		}
		return nil
	})
	if err != nil && result.Status != "" {
		return result, nil
	}
	return result, err
}

// Catalog returns the catalog that the first control that answers uses.
func (c *Client) Catalog(ctx context.Context) (operator.Catalog, error) {
	return get[operator.Catalog](ctx, c, operator.CatalogPath)
}

// Status returns the view of the whole system that the first control that answers has.
func (c *Client) Status(ctx context.Context) (operator.Status, error) {
	return get[operator.Status](ctx, c, operator.StatusPath)
}

// Explain returns how requests for a name are routed, and why the runners hold its weights.
func (c *Client) Explain(ctx context.Context, name string) (operator.Explanation, error) {
	return get[operator.Explanation](ctx, c, operator.ExplainPath+"?"+operator.ParamName+"="+url.QueryEscape(name))
}

// Dump returns the state of the process at an operations address as JSON.
func (c *Client) Dump(ctx context.Context, address netip.AddrPort) (json.RawMessage, error) {
	return c.fetch(ctx, address, "GET", operator.StatePath)
}

// ErrInvalid reports that a gateway does not accept a description of a request.
var ErrInvalid = errors.New("invalid description")

// Where returns where the gateway at an operations address would send a request.
func (c *Client) Where(ctx context.Context, address netip.AddrPort, query operator.WhereQuery) (operator.WhereAnswer, error) {
	var answer operator.WhereAnswer
	body, err := json.Marshal(query)
	if err != nil {
		return answer, errors.Wrap(err, "encode description")
	}
	request := httpcall.NewRequest("POST", address, operator.WherePath, body)
	result, err := c.http.Fetch(ctx, address, request, readTimeout, maxResponseBytes)
	switch {
	case err != nil:
		return answer, errors.Wrapf(err, "%s at %s", operator.WherePath, address)
	case result.Status == statusBadRequest:
		return answer, errors.Wrap(ErrInvalid, string(result.Body))
	case result.Status != statusOK:
		return answer, errors.Errorf("%s at %s: status %d: %s", operator.WherePath, address, result.Status, result.Body)
	}
	return answer, errors.Wrap(json.Unmarshal(result.Body, &answer), "decode answer")
}

// metrics holds the metrics that the client reads.
type metrics struct {
	CPUSeconds float64 `json:"cpuSeconds"`
}

// CPU returns the CPU time that the process at an operations address has used since its start.
func (c *Client) CPU(ctx context.Context, address netip.AddrPort) (time.Duration, error) {
	body, err := c.fetch(ctx, address, "GET", operator.MetricsPath)
	if err != nil {
		return 0, err
	}
	var m metrics
	err = json.Unmarshal(body, &m)
	return time.Duration(m.CPUSeconds * float64(time.Second)), errors.Wrap(err, "decode metrics")
}

// Drain starts a graceful shutdown of the process at an operations address.
func (c *Client) Drain(ctx context.Context, address netip.AddrPort) error {
	_, err := c.fetch(ctx, address, "POST", operator.DrainPath)
	return err
}

func get[A any](ctx context.Context, c *Client, path string) (A, error) {
	var response A
	err := c.tryControls(func(address netip.AddrPort) error {
		body, err := c.fetch(ctx, address, "GET", path)
		if err != nil {
			return err
		}
		return errors.Wrap(json.Unmarshal(body, &response), "decode response")
	})
	return response, err
}

func (c *Client) fetch(ctx context.Context, address netip.AddrPort, method, path string) ([]byte, error) {
	request := httpcall.NewRequest(method, address, path, nil)
	result, err := c.http.Fetch(ctx, address, request, readTimeout, maxResponseBytes)
	if err != nil {
		return nil, errors.Wrapf(err, "%s at %s", path, address)
	}
	if result.Status != statusOK {
		return nil, errors.Errorf("%s at %s: status %d: %s", path, address, result.Status, result.Body)
	}
	return result.Body, nil
}

func (c *Client) tryControls(call func(address netip.AddrPort) error) error {
	err := ErrNoControls
	for _, address := range c.controls {
		if callErr := call(address); callErr != nil {
			err = errors.Wrap(callErr, "control "+address.String())
			continue
		}
		return nil
	}
	return err
}
