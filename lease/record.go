package lease

import (
	"encoding/json"
	"net/netip"
	"slices"

	"egretlane.example/egret"
)

// Prefix is the common prefix of the keys of records. The rest of a key is the service's name.
const Prefix = "egretlane/holders/"

// Record is the value of a service's key.
type Record struct {
	// Era is the era of the store that the process knew when it wrote the record. If it is older than the era in which the
	// record is read, a restored store has brought the record back, or the process didn't know of the restore. Nil stands
	// for the era in which the record is read, as processes of an earlier version write none.
	Era *uint64 `json:"era,omitempty"`

	// Node and Incarnation identify the holder's process.
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`

	// Address is where the process listens for requests of its peers.
	Address netip.AddrPort `json:"address"`

	// Primary is the member that was made primary last, or "" if none ever was.
	Primary string `json:"primary"`

	// PrimaryOrder orders Primary among all that were recorded, and the intents that holders sent to voters. Zero is lower
	// than any, as processes of an earlier version write none.
	PrimaryOrder uint64 `json:"primary-order,omitempty"`

	// PrimaryUncertain says that another member may have been promoted since Primary was: the store was restored, or the
	// intents of a former holder are lost.
	PrimaryUncertain bool `json:"primary-uncertain,omitempty"`

	// Members are the members that may have acknowledged commits, if the service has synchronous replicas, sorted by ID.
	Members []egret.KnownMember `json:"members,omitempty"`

	// Voters are the processes whose promises can extend the lease while the store doesn't respond to the
	// holder, sorted by node.
	Voters []Voter `json:"voters"`

	// Awaits has, for each former holder whose lease may still be valid, the voters of its record. The holder
	// removes them when its own lease has become valid.
	Awaits [][]Voter `json:"awaits"`

	// AwaitsUnknown says that a restored store may have lost the record of a holder whose lease may still be valid.
	AwaitsUnknown bool `json:"awaits-unknown,omitempty"`

	// Unasked has, for each former holder that has stopped without a release, the voters of its record. They may have
	// intents that are newer than Primary. The holder removes the lists with Awaits.
	Unasked [][]Voter `json:"unasked,omitempty"`

	// AskedSince is the revision of the oldest record whose voters are in Awaits or Unasked.
	AskedSince egret.Revision `json:"asked-since,omitzero"`

	// Contested is the holder that may take the service back, until the claim of this record takes effect. It is nil if
	// there is none.
	Contested *ContestedHolder `json:"contested,omitempty"`

	// Reclaimed says that the holder has replaced a claim that contested its lease by this record.
	Reclaimed bool `json:"reclaimed,omitempty"`

	// Released says that the process has stopped using the service and released its lease.
	Released bool `json:"released"`

	// Successor is the node that should hold the service next, if the lease is released. It may be "".
	Successor string `json:"successor"`
}

// addFormer adds the voters of a former holder and those of the holders before it to the lists of a new record. The newest
// revision is that of the former holder's record. A record of a release has every intent of its holder.
func (r *Record) addFormer(former Record, newest egret.Revision, mayBeValid, stopped bool) {
	r.Awaits, r.Unasked = slices.Clone(former.Awaits), slices.Clone(former.Unasked)
	r.AskedSince = former.AskedSince
	if len(r.Awaits)+len(r.Unasked) == 0 {
		r.AskedSince = newest
	}
	switch {
	case mayBeValid:
		r.Awaits = append(r.Awaits, former.Voters)
	case stopped && !former.Released && len(former.Voters) > 0:
		r.Unasked = append(r.Unasked, former.Voters)
	}
}

// ContestedHolder identifies a holder that doesn't respond to a claimant, which doesn't reach a majority of its voters
// either. The holder may still serve another part of a partitioned fleet.
type ContestedHolder struct {
	// Revision is the revision of the holder's record.
	Revision egret.Revision `json:"revision"`

	// Node, Incarnation and Address are those of the holder's record.
	Node        string         `json:"node"`
	Incarnation string         `json:"incarnation"`
	Address     netip.AddrPort `json:"address"`
}

// record returns what identifies the holder's process, for requests to it.
func (h *ContestedHolder) record() Record {
	return Record{
		Node:        h.Node,
		Incarnation: h.Incarnation,
		Address:     h.Address,
	}
}

// contestedHolder returns the holder that a claim of the record's service contests: the record's own one, or the one that the
// record contests itself.
func (v VersionedRecord) contestedHolder() *ContestedHolder {
	if v.Record.Contested != nil {
		return v.Record.Contested
	}
	return &ContestedHolder{
		Revision:    v.Revision,
		Node:        v.Record.Node,
		Incarnation: v.Record.Incarnation,
		Address:     v.Record.Address,
	}
}

// contests reports whether the holder with the revision may take the service back.
func (v VersionedRecord) contests(holder egret.Revision) bool {
	return v.Record.Contested != nil && v.Record.Contested.Revision == holder && v.Stored.Exists() && !v.restored()
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

// VersionedRecord is a record with its revision.
type VersionedRecord struct {
	// Record is the key's value. It is zero if the key doesn't exist.
	Record Record

	// Revision orders the versions of the record, in all eras: it has the era in which the record was written. Its number
	// is zero if the key doesn't exist.
	Revision egret.Revision

	// Stored is the revision of the key in the store, in the era in which it was read. Its number is zero if the key
	// doesn't exist.
	Stored egret.Revision
}

// restored reports whether a restored store has brought the record back, or its writer didn't know of the restore.
func (v VersionedRecord) restored() bool {
	return v.Stored.Exists() && v.Revision.Era < v.Stored.Era
}

// decodeRecord decodes the value of an item. A value that can't be decoded is treated as a record without a
// holder.
func decodeRecord(item egret.Item) (VersionedRecord, error) {
	v := VersionedRecord{
		Stored: item.Revision,
	}
	if item.Removed || !item.Revision.Exists() {
		v.Stored.Number = 0
		return v, nil
	}
	v.Revision = item.Revision
	err := json.Unmarshal(item.Data, &v.Record)
	if v.Record.Era != nil {
		v.Revision.Era = min(*v.Record.Era, item.Revision.Era)
	}
	return v, err
}
