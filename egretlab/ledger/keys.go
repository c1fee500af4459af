package ledger

import (
	"strings"
	"time"

	"egretlane.example/egret/egretlab/dbsim"
)

// noWorkspace is the name that members are told for callers without a workspace.
const noWorkspace = "egretlane"

// keyState is what is known of a key.
type keyState struct {
	workspace string

	// withdrawn says that no configuration that is in force or becomes so has the key, everWithdrawn that this was so at
	// some time.
	withdrawn, everWithdrawn bool

	// refusedFrom is when operations that begin with a withdrawn key must be refused.
	refusedFrom time.Time
}

// AllowKey records that the configuration that is written next gives the key to the workspace.
func (l *Ledger) AllowKey(key, workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keys == nil {
		l.keys = map[string]*keyState{}
	}
	if l.keys[key] == nil {
		l.keys[key] = &keyState{
			workspace: workspace,
		}
	}
	l.keys[key].withdrawn = false
}

// WithdrawKey records that the configuration that is written next doesn't have the key. Operations that begin after from
// must be refused.
func (l *Ledger) WithdrawKey(key string, from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.keys[key]
	k.withdrawn, k.everWithdrawn, k.refusedFrom = true, true, from
}

// SuspendKeys stops the checks of withdrawn keys, until ResumeKeys is called as often.
func (l *Ledger) SuspendKeys() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspended++
}

// ResumeKeys undoes SuspendKeys. Keys that are withdrawn must be refused from the time.
func (l *Ledger) ResumeKeys(from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspended--
	for _, k := range l.keys {
		if k.refusedFrom.Before(from) {
			k.refusedFrom = from
		}
	}
}

// CheckStartup checks the answer to the startup message of a session.
func (l *Ledger) CheckStartup(s *Session, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	switch {
	case strings.HasPrefix(answer, "ERROR NOAUTH"):
		l.checkRefusal(s, "the session of "+s.Database)
	case strings.HasPrefix(answer, "READY") && len(l.keys) > 0 && l.keys[s.Key] == nil && !s.Public:
		l.addViolation("KEYS", "a session of %s was opened with an unknown key", s.Database)
	}
}

// checkRefusal checks that a key that an operation or a session was refused for isn't valid. The caller holds mu.
func (l *Ledger) checkRefusal(s *Session, what string) {
	k := l.keys[s.Key]
	if s.Public || len(l.keys) == 0 || k != nil && !k.everWithdrawn {
		l.addViolation("KEYS", "%s was refused for its key, which is valid or not needed", what)
	}
}

// checkWorkspace checks that a statement ran on a connection of the workspace of its caller's key, and that its operation
// didn't begin too long after the key was withdrawn. The caller holds mu.
func (l *Ledger) checkWorkspace(q *request, r dbsim.Execution) {
	k, s := l.keys[q.session.Key], q.session
	known := k != nil
	if known && k.withdrawn && l.suspended == 0 && q.startedAt.After(k.refusedFrom) {
		known = false
	}
	switch {
	case len(l.keys) == 0 && r.Workspace == "":
	case known && r.Workspace == k.workspace:
	case r.Workspace != noWorkspace:
		l.addViolation("KEYS", "%s on %s ran for workspace %s with the key %q, valid: %t", r.ID, s.Database, r.Workspace, s.Key, known)
	case known && !k.everWithdrawn:
		l.addViolation("KEYS", "%s on %s ran for no workspace with the valid key %q", r.ID, s.Database, s.Key)
	case !s.Public && len(l.keys) > 0:
		l.addViolation("KEYS", "%s on %s ran for no workspace on a route that needs a key, at %s", r.ID, s.Database, r.Member)
	}
}
