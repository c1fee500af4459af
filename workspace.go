package egret

import (
	"crypto/sha256"
	"slices"

	"egretlane.example/egret/clock"
)

// Credential is the SHA-256 digest of a key with which a caller identifies its workspace. Keys themselves are not kept.
type Credential [sha256.Size]byte

// NewCredential returns the credential of a key.
func NewCredential(key string) Credential {
	return sha256.Sum256([]byte(key))
}

// Startup is a caller's request to open a session.
type Startup struct {
	// Database is the database that the caller requests.
	Database string

	// Credential identifies the caller's workspace, if the configuration has workspaces.
	Credential Credential
}

// Workspace is a customer of the operators whose callers share keys, connections and a quota.
type Workspace struct {
	// Name is unique among all workspaces. Members are told the name.
	Name string

	// Credentials are those of the workspace's keys. No two workspaces have the same.
	Credentials []Credential

	// Weight is the workspace's relative share of a service that can't take all requests. It is above zero.
	Weight int

	// Quota limits the workspace's operations on all services together.
	Quota Quota
}

// Quota limits the operations of a workspace, over all processes. An operation is a transaction or a statement outside of
// transactions. The zero Quota sets no limit.
type Quota struct {
	// Rate is the number of operations per second, at least zero.
	Rate float64

	// Burst is the number of operations by which the workspace may exceed Rate for a short time, at least zero.
	Burst float64

	// Limited says that the quota applies.
	Limited bool
}

// IndexWorkspaces makes WorkspaceOf independent of the number of workspaces. It is called once, after Workspaces is set
// and before the tables are shared.
func (t *Tables) IndexWorkspaces() {
	t.workspaceIndex = map[Credential]int{}
	for i := range t.Workspaces {
		for _, c := range t.Workspaces[i].Credentials {
			t.workspaceIndex[c] = i
		}
	}
}

// Meter counts the operations of a service against the quotas of workspaces.
type Meter interface {
	// Admit counts an operation of the workspace on a route of the priority; 0 is the highest. It returns a fault at once if
	// the operation exceeds the quota.
	Admit(workspace string, priority int) Fault

	// Return ends the count of an operation that Admit has counted after the given time, and that was sent to no member.
	Return(workspace string, since clock.Time)
}

// WorkspaceOf returns the workspace that the credential belongs to, or nil if there is none.
func (t *Tables) WorkspaceOf(c Credential) *Workspace {
	if t.workspaceIndex != nil {
		if i, found := t.workspaceIndex[c]; found {
			return &t.Workspaces[i]
		}
		return nil
	}
	for i := range t.Workspaces {
		if slices.Contains(t.Workspaces[i].Credentials, c) {
			return &t.Workspaces[i]
		}
	}
	return nil
}
