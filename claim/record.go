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

	// Voters are the processes that may keep the holder in force while the store gives it no answer,
	// ordered by node.
	Voters []Voter `json:"voters"`

	// Awaits has, for each former holder whose right may still be in force, the voters of its record.
	// The holder takes them out when it begins to use the service.
	Awaits [][]Voter `json:"awaits"`

	// Released says that the process has stopped to use the service.
	Released bool `json:"released"`

	// Successor is the node that the process handed the service to, if it is released.
	Successor string `json:"successor"`
}

// Voter is a process that a holder asks for promises.
type Voter struct {
	Node    string         `json:"node"`
	Address netip.AddrPort `json:"address"`
}

// majority is how many of the voters make a decision.
func majority(voters []Voter) int {
	return len(voters)/2 + 1
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
