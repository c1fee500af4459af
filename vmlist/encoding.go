package vmlist

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// vmEntry is the JSON representation of a VM.
type vmEntry struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Region  string         `json:"region"`
	Domain  string         `json:"failure-domain"`
	Leaving bool           `json:"leaving"`
}

// Decode parses a list. Unknown keys are ignored, as the platform may add some.
func Decode(data []byte) ([]egret.VM, error) {
	entries := []vmEntry{}
	err := json.Unmarshal(data, &entries)
	if err != nil {
		return nil, errors.Annotate(err, "decoding the list")
	}
	vms := make([]egret.VM, 0, len(entries))
	for i, e := range entries {
		if e.Name == "" {
			return nil, errors.NewNotValid(nil, fmt.Sprintf("entry %d: name must not be empty", i))
		}
		vms = append(vms, egret.VM(e))
	}
	return vms, nil
}

// Encode returns a list as JSON, in the format that Decode parses.
func Encode(vms []egret.VM) ([]byte, error) {
	entries := make([]vmEntry, 0, len(vms))
	for _, v := range vms {
		entries = append(entries, vmEntry(v))
	}
	data, err := json.Marshal(entries)
	return data, errors.Annotate(err, "encoding the list")
}
