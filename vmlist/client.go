// Package vmlist is a client of the platform's list of VMs.
//
// The list is a JSON array served over HTTP. It may be out of date: it may still have VMs that are gone, and it may
// lack new ones.
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

// DefaultTimeout is the default of Client.Timeout.
const DefaultTimeout = 2 * time.Second

// maxListBytes is the maximum size of a response.
const maxListBytes = 16 << 20

// Client implements egret.VMList. Its exported fields must be set before the first call.
type Client struct {
	// URL is the address of the list.
	URL string

	// Timeout is the timeout of each call. Zero means DefaultTimeout.
	Timeout time.Duration

	// HTTP is the client for the calls. Nil means http.DefaultClient with a new connection for each call, so that a
	// connection that has silently failed is never reused.
	HTTP *http.Client
}

var _ egret.VMList = (*Client)(nil)

// List returns the platform's current list.
func (c *Client) List(ctx context.Context) ([]egret.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL, nil)
	if err != nil {
		return nil, errors.Annotatef(err, "VM list %s", c.URL)
	}
	data, err := c.fetch(request)
	if err != nil {
		return nil, errors.Annotatef(err, "VM list %s", c.URL)
	}
	vms, err := Decode(data)
	return vms, errors.Annotatef(err, "VM list %s", c.URL)
}

// fetch returns the body of the response to the request.
func (c *Client) fetch(request *http.Request) ([]byte, error) {
	request.Close = c.HTTP == nil
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("unexpected response status %s, want 200 OK", response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(data) > maxListBytes {
		return nil, errors.Errorf("response exceeds the limit of %d bytes", maxListBytes)
	}
	return data, nil
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}
