package claim

import (
	"encoding/json"
	"net/netip"

	"egretlane.example/egret"
)

// Prefix is where the records of holders lie, each below the name of its service.
const Prefix = "egretlane/holders/"

// Record is the value of a service's key.
type Record struct {
	// Node and Incarnation name the process that holds the service.
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`

	// Address is where the process serves its peers.
	Address netip.AddrPort `json:"address"`

	// Primary is the member that was made primary last, or "" if none ever was.
	Primary string `json:"primary"`

	// Released says that the process has stopped to use the service.
	Released bool `json:"released"`

	// Successor is the node that the process handed the service to, if it is released.
	Successor string `json:"successor"`
}

// Seen is a record as it was read.
type Seen struct {
	// Record is the value. It is zero if there is no key.
	Record Record

	// Revision is the key's, or zero if there is no key.
	Revision uint64
}

// decode reads an item. A value that can't be read counts as a record of nobody.
func decode(item egret.Item) (Seen, error) {
	s := Seen{
		Revision: item.Revision,
	}
	if item.Removed || item.Revision == 0 {
		s.Revision = 0
		return s, nil
	}
	err := json.Unmarshal(item.Data, &s.Record)
	return s, err
}
