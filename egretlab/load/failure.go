package load

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"

	"github.com/juju/errors"

	"egretlane.example/egret/egretlab/sites"
)

// Kind is a kind of failure of a group's primary.
type Kind string

// The kinds of failures.
const (
	// KindKilled ends the primary's process. The platform starts it again.
	KindKilled Kind = "killed"

	// KindFrozen stops the primary's process until another member leads.
	KindFrozen Kind = "frozen"

	// KindCut cuts the primary off from all other failure domains. The proxies of its own domain
	// reach it and all else.
	KindCut Kind = "cut"

	// KindCutDomain cuts the primary's failure domain off from all else, its proxies too.
	KindCutDomain Kind = "cut-domain"

	// KindCutRegion cuts the regions apart, with the primary on the smaller side.
	KindCutRegion Kind = "cut-one-region"
)

// Check reports whether the kind is known.
func (k Kind) Check() error {
	switch k {
	case KindKilled, KindFrozen, KindCut, KindCutDomain, KindCutRegion:
		return nil
	default:
		return errors.NotValidf("failure %q (killed, frozen, cut, cut-domain, cut-one-region)", k)
	}
}

// fail causes a failure of the primary.
func (t *Target) fail(ctx context.Context, k Kind, m sites.Member) error {
	switch k {
	case KindKilled:
		return t.signal(m, syscall.SIGKILL)
	case KindFrozen:
		return t.signal(m, syscall.SIGSTOP)
	case KindCut:
		return t.post(ctx, t.Set.LinksOperator(), fmt.Sprintf("/cut?from=%s&to=*", m.Name))
	case KindCutDomain:
		return t.post(ctx, t.Set.LinksOperator(), fmt.Sprintf("/cut?from=%s&to=*", m.Domain.Name))
	default:
		regions := t.Set.Regions()
		return t.post(ctx, t.Set.LinksOperator(), fmt.Sprintf("/cut?from=%s&to=%s", regions[0], regions[1]))
	}
}

// mend ends a failure. A killed member is started again by whoever started the set.
func (t *Target) mend(ctx context.Context, k Kind, m sites.Member) error {
	switch k {
	case KindKilled:
		return nil
	case KindFrozen:
		return t.signal(m, syscall.SIGCONT)
	default:
		return t.post(ctx, t.Set.LinksOperator(), "/heal")
	}
}

// signal sends a signal to a member's process.
func (t *Target) signal(m sites.Member, s syscall.Signal) error {
	text, err := os.ReadFile(t.Set.PIDFile(m.Name))
	if err != nil {
		return errors.Trace(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || pid <= 1 {
		return errors.NotValidf("process number %q of %s", text, m.Name)
	}
	return errors.Annotatef(syscall.Kill(pid, s), "signal to %s", m.Name)
}
