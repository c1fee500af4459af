// Package table keeps the operators' two tables: how they are stored, changed and put in force.
//
// The tables are one value in the platform's store. An Editor changes it, by compare-and-swap only.
// A Keeper holds the tables in force in a proxy and takes higher revisions only, so that nothing
// reverts:
//
//	k := &table.Keeper{
//		Store:   client,
//		Key:     "egretlane/tables",
//		Watches: watches,
//	}
//	go k.Run(ctx)
//	t := k.Now()
//
// Package form, below it, reads and checks the text that operators write.
package table

import (
	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/table/form"
)

// maxEdits is how many edits the value keeps.
const maxEdits = 50

// maxNoteBytes bounds an edit's author and its summary.
const maxNoteBytes = 400

// Encode writes the tables as they are stored and as proxies hand them on. The revision is not in it.
// It fails for tables with faults and for those that are too large for the store.
func Encode(t *egret.Tables) ([]byte, error) {
	findings := form.Check(t)
	if findings.HasFaults() {
		return nil, errors.Trace(&form.Error{
			Findings: findings,
		})
	}
	data, err := form.Stored(t)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(data) > form.MaxBytes {
		return nil, errors.QuotaLimitExceededf("tables of %d bytes, with a limit of %d,", len(data), form.MaxBytes)
	}
	return pack(data)
}

// Decode reads what Encode wrote. The revision is that of the store's value. It fails with a
// *form.Error if the value has faults.
func Decode(revision uint64, data []byte) (*egret.Tables, error) {
	data, err := unpack(data)
	if err != nil {
		return nil, errors.Annotatef(err, "tables of revision %d", revision)
	}
	t, findings := form.ParseStored(data)
	if findings.HasFaults() {
		return nil, errors.Annotatef(&form.Error{
			Findings: findings,
		}, "tables of revision %d", revision)
	}
	t.Revision = revision
	return t, nil
}

// withEdit returns the tables with an edit ahead of the older ones.
func withEdit(t *egret.Tables, e egret.Edit, older []egret.Edit) *egret.Tables {
	e.Author = cut(e.Author)
	e.Summary = cut(e.Summary)
	edits := append([]egret.Edit{e}, older...)
	return &egret.Tables{
		Routes: t.Routes,
		Pools:  t.Pools,
		Edits:  edits[:min(len(edits), maxEdits)],
	}
}

// cut bounds a note, so that the history takes a small part of the value.
func cut(note string) string {
	if len(note) <= maxNoteBytes {
		return note
	}
	return note[:maxNoteBytes]
}
