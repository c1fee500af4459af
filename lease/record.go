package lease

import (
	"encoding/json"
	"net/netip"

	"egretlane.example/egret"
)

// Prefix is the common prefix of the keys of records. The rest of a key is the service's name.
const Prefix = "egretlane/holders/"

// Record is the value of a service's key.
type Record struct {
	// Node and Incarnation identify the holder's process.
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`

	// Address is where the process listens for requests of its peers.
	Address netip.AddrPort `json:"address"`

	// Primary is the member that was made primary last, or "" if none ever was.
	Primary string `json:"primary"`

	// Voters are the processes whose promises can extend the lease while the store doesn't respond to the
	// holder, sorted by node.
	Voters []Voter `json:"voters"`

	// Awaits has, for each former holder whose lease may still be valid, the voters of its record. The holder
	// removes them when its own lease has become valid.
	Awaits [][]Voter `json:"awaits"`

	// Released says that the process has stopped using the service and released its lease.
	Released bool `json:"released"`

	// Successor is the node that should hold the service next, if the lease is released. It may be "".
	Successor string `json:"successor"`
}

// Voter is a process that a holder asks for promises. See Promise.
type Voter struct {
	Node    string         `json:"node"`
	Address netip.AddrPort `json:"address"`
}

// majority returns how many of the voters are a majority.
func majority(voters []Voter) int {
	return len(voters)/2 + 1
}

// VersionedRecord is a record with the revision at which it was read.
type VersionedRecord struct {
	// Record is the key's value. It is zero if the key doesn't exist.
	Record Record

	// Revision is the key's revision, or zero if the key doesn't exist.
	Revision uint64
}

// decodeRecord decodes the value of an item. A value that can't be decoded is treated as a record without a
// holder.
func decodeRecord(item egret.Item) (VersionedRecord, error) {
	v := VersionedRecord{
		Revision: item.Revision,
	}
	if item.Removed || item.Revision == 0 {
		v.Revision = 0
		return v, nil
	}
	err := json.Unmarshal(item.Data, &v.Record)
	return v, err
}
