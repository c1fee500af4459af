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

// operatorTimeout bounds a request to an operators' port.
const operatorTimeout = 3 * time.Second

// farPercent is how many of a session's connections go to a proxy of another region.
const farPercent = 5

// Target is the running set that is driven.
type Target struct {
	// Set is the layout of the set.
	Set sites.Set

	// HTTP asks the operators' ports. It must be set.
	HTTP *http.Client
}

// proxyFor picks a proxy for a caller of a region and returns its address as the caller dials it.
func (t *Target) proxyFor(region string, r *rand.Rand) netip.AddrPort {
	far := r.IntN(100) < farPercent
	candidates := []netip.AddrPort{}
	for _, p := range t.Set.Proxies() {
		if far || p.Domain.Region == region {
			candidates = append(candidates, p.Callers)
		}
	}
	rules := t.Set.Rules(sites.Callers(region))
	return rules.Resolve(candidates[r.IntN(len(candidates))])
}

// State asks a member for its state.
func (t *Target) State(ctx context.Context, m sites.Member) (pgsim.StateReply, error) {
	s := pgsim.StateReply{}
	err := t.get(ctx, m.Operator, "/state", &s)
	return s, err
}

// Primary returns the member that leads a group, as the members have it.
func (t *Target) Primary(ctx context.Context, group string) (sites.Member, error) {
	best := sites.Member{}
	term := uint64(0)
	for _, m := range t.Set.Members() {
		if m.Group != group {
			continue
		}
		s, err := t.State(ctx, m)
		if err == nil && s.Role == egret.RolePrimary && s.Granted > term {
			best = m
			term = s.Granted
		}
	}
	if best.Name == "" {
		return best, errors.NotFoundf("a primary of group %s", group)
	}
	return best, nil
}

// groups returns the names of all groups.
func (t *Target) groups() []string {
	names := make([]string, 0, t.Set.Deployment.Groups)
	for g := range t.Set.Deployment.Groups {
		names = append(names, t.Set.Group(g))
	}
	return names
}

// SetLag makes all members keep entries for a time before they apply them.
func (t *Target) SetLag(ctx context.Context, d time.Duration) error {
	return t.setMembers(ctx, fmt.Sprintf("/lag?duration=%s", d))
}

// SetDelay makes all members of the group slow to answer.
func (t *Target) SetDelay(ctx context.Context, m sites.Member, d time.Duration) error {
	return t.post(ctx, m.Operator, fmt.Sprintf("/delay?duration=%s", d))
}

// SetStore takes the store down or up.
func (t *Target) SetStore(ctx context.Context, up bool) error {
	mode := "down"
	if up {
		mode = "none"
	}
	return t.post(ctx, t.Set.StoreOperator(), "/fault?mode="+mode)
}

func (t *Target) setMembers(ctx context.Context, path string) error {
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

func (t *Target) get(ctx context.Context, a netip.AddrPort, path string, to any) error {
	return t.request(ctx, http.MethodGet, a, path, to)
}

// request asks an operators' port. The answer is read as JSON into to, unless that is nil.
func (t *Target) request(ctx context.Context, method string, a netip.AddrPort, path string, to any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s", a, path), nil)
	if err != nil {
		return errors.Trace(err)
	}
	reply, err := t.HTTP.Do(r)
	if err != nil {
		return errors.Trace(err)
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(reply.Body)
		return errors.Errorf("%s %s at %s: %s: %s", method, path, a, reply.Status, text)
	}
	if to == nil {
		return nil
	}
	return errors.Trace(json.NewDecoder(reply.Body).Decode(to))
}
