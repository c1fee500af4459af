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

// FailureKind is a kind of failure of a group's primary.
type FailureKind string

// The kinds of failures.
const (
	// FailureKilled kills the primary's process. The platform starts it again.
	FailureKilled FailureKind = "killed"

	// FailureFrozen suspends the primary's process with SIGSTOP until an order is placed again.
	FailureFrozen FailureKind = "frozen"

	// FailureCut cuts the primary off from all other failure domains. The proxies of its own domain still reach it, and
	// everything else.
	FailureCut FailureKind = "cut"

	// FailureCutDomain cuts the primary's failure domain, with its proxies, off from all others.
	FailureCutDomain FailureKind = "cut-domain"

	// FailureCutRegion cuts the links between the regions while the primary is in the smaller one.
	FailureCutRegion FailureKind = "cut-one-region"
)

// Check returns an error if the kind is unknown.
func (k FailureKind) Check() error {
	switch k {
	case FailureKilled, FailureFrozen, FailureCut, FailureCutDomain, FailureCutRegion:
		return nil
	default:
		return errors.NotValidf("failure %q (killed, frozen, cut, cut-domain, cut-one-region)", k)
	}
}

// causeFailure causes a failure of a primary.
func (t *Target) causeFailure(ctx context.Context, k FailureKind, m sites.Member) error {
	switch k {
	case FailureKilled:
		return t.signal(m, syscall.SIGKILL)
	case FailureFrozen:
		return t.signal(m, syscall.SIGSTOP)
	case FailureCut:
		return t.post(ctx, t.Set.LinksOperator(), fmt.Sprintf("/cut?from=%s&to=*", m.Name))
	case FailureCutDomain:
		return t.post(ctx, t.Set.LinksOperator(), fmt.Sprintf("/cut?from=%s&to=*", m.Domain.Name))
	default:
		regions := t.Set.Regions()
		return t.post(ctx, t.Set.LinksOperator(), fmt.Sprintf("/cut?from=%s&to=%s", regions[0], regions[1]))
	}
}

// endFailure ends a failure. It does nothing for a killed member, which is restarted by whoever runs the set.
func (t *Target) endFailure(ctx context.Context, k FailureKind, m sites.Member) error {
	switch k {
	case FailureKilled:
		return nil
	case FailureFrozen:
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
		return errors.NotValidf("process ID %q of %s", text, m.Name)
	}
	return errors.Annotatef(syscall.Kill(pid, s), "signal to %s", m.Name)
}
