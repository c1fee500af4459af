// Package table stores, changes and distributes the operators' two tables, routes and pools.
//
// Both tables are stored together as one value in the platform's key-value store. An Editor changes the
// value, by compare-and-swap only. A Cache holds a proxy's current tables and accepts only higher
// revisions, so that a proxy never goes back to an older one:
//
//	c := &table.Cache{
//		Store:        client,
//		Key:          "egretlane/tables",
//		WatchesStore: watches,
//	}
//	go c.Run(ctx)
//	t := c.Current()
//
// Package codec parses and checks the text that operators write.
package table

import (
	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/table/codec"
)

// maxEdits is the number of edits that the stored history keeps.
const maxEdits = 50

// maxEditFieldBytes limits the author and the summary of an edit.
const maxEditFieldBytes = 400

// Encode returns the tables as they are stored and as proxies send them to each other. The revision is not
// part of the encoding. It fails for tables with faults and for tables that are too large for the store.
func Encode(t *egret.Tables) ([]byte, error) {
	findings := codec.Check(t)
	if findings.HasFaults() {
		return nil, errors.Trace(&codec.Error{
			Findings: findings,
		})
	}
	data, err := codec.StoredJSON(t)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(data) > codec.MaxBytes {
		return nil, errors.QuotaLimitExceededf("tables of %d bytes exceed the limit of %d", len(data), codec.MaxBytes)
	}
	return compress(data)
}

// Decode parses the output of Encode. The revision is that of the value in the store. The error is a
// *codec.Error if the value has faults.
func Decode(revision uint64, data []byte) (*egret.Tables, error) {
	data, err := decompress(data)
	if err != nil {
		return nil, errors.Annotatef(err, "tables of revision %d", revision)
	}
	t, findings := codec.ParseStored(data)
	if findings.HasFaults() {
		return nil, errors.Annotatef(&codec.Error{
			Findings: findings,
		}, "tables of revision %d", revision)
	}
	t.Revision = revision
	return t, nil
}

// withEdit returns the tables with the edit added at the front of the history.
func withEdit(t *egret.Tables, e egret.Edit, older []egret.Edit) *egret.Tables {
	e.Author = truncate(e.Author)
	e.Summary = truncate(e.Summary)
	edits := append([]egret.Edit{e}, older...)
	return &egret.Tables{
		Routes: t.Routes,
		Pools:  t.Pools,
		Edits:  edits[:min(len(edits), maxEdits)],
	}
}

// truncate limits the size of an edit's text, so that the history is a small part of the value.
func truncate(text string) string {
	if len(text) <= maxEditFieldBytes {
		return text
	}
	return text[:maxEditFieldBytes]
}
