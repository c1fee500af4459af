// Package vmlist reads the platform's list of VMs.
//
// The list is a JSON array over HTTP. It lags: a VM on it may be gone, and a new one may be missing.
//
//	c := &vmlist.Client{
//		URL: "http://127.0.0.1:6401/vms",
//	}
//	vms, err := c.List(ctx)
package vmlist

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// DefaultTimeout bounds a call if Client.Timeout is zero.
const DefaultTimeout = 2 * time.Second

// maxListBytes bounds the answer that is read.
const maxListBytes = 16 << 20

// Client implements egret.VMList. Its exported fields are set before the first call.
type Client struct {
	// URL is where the list is served.
	URL string

	// Timeout bounds each call. Zero means DefaultTimeout.
	Timeout time.Duration

	// HTTP carries the calls. Nil means a client that opens a new connection for each call, so
	// that a silent one is never used again.
	HTTP *http.Client
}

var _ egret.VMList = (*Client)(nil)

// List returns the list as the platform has it now.
func (c *Client) List(ctx context.Context) ([]egret.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL, nil)
	if err != nil {
		return nil, errors.Annotatef(err, "VM list %s", c.URL)
	}
	data, err := c.fetch(r)
	if err != nil {
		return nil, errors.Annotatef(err, "VM list %s", c.URL)
	}
	vms, err := Decode(data)
	return vms, errors.Annotatef(err, "VM list %s", c.URL)
}

// fetch returns the body of the answer.
func (c *Client) fetch(r *http.Request) ([]byte, error) {
	r.Close = c.HTTP == nil
	h := c.HTTP
	if h == nil {
		h = http.DefaultClient
	}
	a, err := h.Do(r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return nil, errors.Errorf("answer %s", a.Status)
	}
	data, err := io.ReadAll(io.LimitReader(a.Body, maxListBytes+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(data) > maxListBytes {
		return nil, errors.Errorf("answer of more than %d bytes", maxListBytes)
	}
	return data, nil
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}
