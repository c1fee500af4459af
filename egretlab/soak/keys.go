package soak

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// withdrawalTimeout is the time after the acknowledgement of a configuration within which a key that it withdraws must stop
// working.
const withdrawalTimeout = 5 * time.Second

// withdrawalDivisor sets how many keys are withdrawn at once: one of this many.
const withdrawalDivisor = 3

// keyDisturbingKinds are the faults in and after which a process may not know the newest configuration: it doesn't run, or the
// store answers to no process or has an older configuration. A process that is turned away alone, or has just started, has to
// know it.
var keyDisturbingKinds = []Kind{KindPauseProxy, KindStoreDown, KindStoreSlow, KindStoreForgets, KindStoreRestored}

// configWorkspace is a workspace in the operator's configuration.
type configWorkspace struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`

	// Rate and Burst are the quota. Zero stands for none.
	Rate  float64 `json:"rate_per_s,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

func workspaceName(i int) string {
	return fmt.Sprintf("workspace-%d", i)
}

func workspaceKey(i int) string {
	return fmt.Sprintf("key-%d", i)
}

// configWorkspaces returns the workspaces with their keys, but for withdrawn ones. It returns nil if the plan has none. The
// caller holds mu.
func (s *Soak) configWorkspaces() *[]configWorkspace {
	if s.Plan.Workspaces == 0 {
		return nil
	}
	all := []configWorkspace{}
	for i := range s.Plan.Workspaces {
		w := configWorkspace{
			Name: workspaceName(i),
			Keys: []string{},
		}
		if s.withdrawn[i] == 0 {
			w.Keys = append(w.Keys, workspaceKey(i))
			s.ledger.AllowKey(workspaceKey(i), w.Name)
		}
		if s.Plan.limited(i) {
			s.limitWorkspace(&w)
		}
		all = append(all, w)
	}
	return &all
}

// withdrawKeys withdraws the keys of a third of the workspaces, and gives them back after they had to stop working and the
// event's duration has passed. The key of the first workspace stays.
func (s *Soak) withdrawKeys(ctx context.Context, e Event) {
	targets := []int{}
	for i := 1 + e.Target%withdrawalDivisor; i < s.Plan.Workspaces; i += withdrawalDivisor {
		targets = append(targets, i)
		// A process may refuse the key as soon as the configuration is written.
		s.ledger.WithdrawKey(workspaceKey(i), time.Now().Add(s.Plan.Duration))
	}
	s.changeWithdrawals(targets, 1)
	for _, i := range targets {
		s.ledger.WithdrawKey(workspaceKey(i), time.Now().Add(withdrawalTimeout))
	}
	pause(ctx, withdrawalTimeout+e.Duration)
	s.changeWithdrawals(targets, -1)
}

// changeWithdrawals changes how many events have withdrawn the keys of the workspaces, and writes the configuration.
func (s *Soak) changeWithdrawals(targets []int, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.withdrawn == nil {
		s.withdrawn = map[int]int{}
	}
	for _, i := range targets {
		s.withdrawn[i] += by
	}
	s.writeConfig()
}

// suspendKeys suspends the checks of withdrawn keys if the event is a fault in which a process may miss a configuration. The
// returned function, which is called at the end of the fault, resumes them.
func (s *Soak) suspendKeys(e Event) func() {
	if s.Plan.Workspaces == 0 || !slices.Contains(keyDisturbingKinds, e.Kind) {
		return func() {}
	}
	s.ledger.SuspendKeys()
	return func() {
		if e.Kind == KindStoreRestored {
			// The restored store may have an older configuration.
			s.changeWithdrawals(nil, 0)
		}
		s.ledger.ResumeKeys(time.Now().Add(settleTime + withdrawalTimeout))
	}
}
