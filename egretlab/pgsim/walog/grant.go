package walog

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

const (
	grantFile     = "grant"
	grantTempFile = "grant.new"
)

// Grant is the highest term that a member has granted and its role in that term. It persists across
// restarts.
type Grant struct {
	// Term is the highest term that the member has granted. It never decreases.
	Term uint64 `json:"term"`

	// Role is the member's role in Term.
	Role egret.Role `json:"role"`

	// Upstream is the address of the primary that a replica follows. It is invalid in other roles.
	Upstream netip.AddrPort `json:"upstream"`
}

// LoadGrant reads the grant from the folder. It returns the fallback if there is no grant yet, or if the
// folder's name is empty.
func LoadGrant(folder string, fallback Grant) (Grant, error) {
	if folder == "" {
		return fallback, nil
	}
	data, err := os.ReadFile(filepath.Join(folder, grantFile))
	if os.IsNotExist(err) {
		return fallback, nil
	}
	if err != nil {
		return Grant{}, errors.Annotate(err, "reading the grant")
	}
	var g Grant
	if err := json.Unmarshal(data, &g); err != nil {
		return Grant{}, errors.Annotate(err, "decoding the grant")
	}
	return g, nil
}

// SaveGrant replaces the grant in the folder atomically. If the folder's name is empty, it does nothing.
func SaveGrant(folder string, g Grant) error {
	if folder == "" {
		return nil
	}
	data, err := json.Marshal(g)
	if err != nil {
		return errors.Annotate(err, "encoding the grant")
	}
	next := filepath.Join(folder, grantTempFile)
	if err := os.WriteFile(next, data, fileMode); err != nil {
		return errors.Annotate(err, "writing the grant")
	}
	err = os.Rename(next, filepath.Join(folder, grantFile))
	return errors.Annotate(err, "replacing the grant")
}
