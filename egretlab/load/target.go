package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim"
	"egretlane.example/egret/egretlab/sites"
)

// operatorTimeout limits a request to an operators' port.
const operatorTimeout = 3 * time.Second

// anyRegionPercent is the percentage of a session's connections that go to a proxy of any region, instead of one of the
// caller's region.
const anyRegionPercent = 5

// Target is the running set that the load is put on.
type Target struct {
	// Set describes the processes and their addresses.
	Set sites.Set

	// HTTP is the client for requests to the operators' ports. It must be set.
	HTTP *http.Client
}

// pickProxy picks a random proxy for a caller in a region and returns the address that the caller dials for it.
func (t *Target) pickProxy(region string, r *rand.Rand) netip.AddrPort {
	anyRegion := r.IntN(100) < anyRegionPercent
	candidates := []netip.AddrPort{}
	for _, p := range t.Set.Proxies() {
		if anyRegion || p.Domain.Region == region {
			candidates = append(candidates, p.Callers)
		}
	}
	rules := t.Set.Rules(sites.CallerEndpoint(region))
	return rules.Resolve(candidates[r.IntN(len(candidates))])
}

// State asks a member for its state.
func (t *Target) State(ctx context.Context, m sites.Member) (pgsim.StateReply, error) {
	s := pgsim.StateReply{}
	err := t.get(ctx, m.Operator, "/state", &s)
	return s, err
}

// Primary returns the member that reports to be the primary of a group, in the latest term if there are several.
func (t *Target) Primary(ctx context.Context, group string) (sites.Member, error) {
	primary := sites.Member{}
	term := uint64(0)
	for _, m := range t.Set.Members() {
		if m.Group != group {
			continue
		}
		s, err := t.State(ctx, m)
		if err == nil && s.Role == egret.RolePrimary && s.Granted > term {
			primary = m
			term = s.Granted
		}
	}
	if primary.Name == "" {
		return primary, errors.NotFoundf("primary of group %s", group)
	}
	return primary, nil
}

// groups returns the names of all groups.
func (t *Target) groups() []string {
	names := make([]string, 0, t.Set.Deployment.Groups)
	for g := range t.Set.Deployment.Groups {
		names = append(names, t.Set.Group(g))
	}
	return names
}

// SetLag sets the replication lag: how long the members keep a log entry before they apply it.
func (t *Target) SetLag(ctx context.Context, d time.Duration) error {
	return t.postAll(ctx, fmt.Sprintf("/lag?duration=%s", d))
}

// SetDelay sets the time by which a member delays its answers.
func (t *Target) SetDelay(ctx context.Context, m sites.Member, d time.Duration) error {
	return t.post(ctx, m.Operator, fmt.Sprintf("/delay?duration=%s", d))
}

// SetStoreUp makes the store answer or fail requests.
func (t *Target) SetStoreUp(ctx context.Context, up bool) error {
	mode := "down"
	if up {
		mode = "none"
	}
	return t.post(ctx, t.Set.StoreOperator(), "/fault?mode="+mode)
}

// postAll posts to the operators' ports of all members.
func (t *Target) postAll(ctx context.Context, path string) error {
	for _, m := range t.Set.Members() {
		if err := t.post(ctx, m.Operator, path); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (t *Target) post(ctx context.Context, a netip.AddrPort, path string) error {
	return t.request(ctx, http.MethodPost, a, path, nil)
}

func (t *Target) get(ctx context.Context, a netip.AddrPort, path string, result any) error {
	return t.request(ctx, http.MethodGet, a, path, result)
}

// request sends a request to an operators' port. It decodes the JSON response into result, unless that is nil.
func (t *Target) request(ctx context.Context, method string, a netip.AddrPort, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s", a, path), nil)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := t.HTTP.Do(r)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return errors.Errorf("%s %s at %s: %s: %s", method, path, a, response.Status, text)
	}
	if result == nil {
		return nil
	}
	return errors.Trace(json.NewDecoder(response.Body).Decode(result))
}
