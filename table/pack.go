package table

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/juju/errors"

	"egretlane.example/egret/table/form"
)

const (
	// packedFrom is the size from which tables are packed, in bytes. Smaller ones stay readable in
	// the store.
	packedFrom = 16 << 10

	// maxStoredBytes is the largest value that the store holds, in bytes.
	maxStoredBytes = 1_000_000
)

// packMark is what packed tables begin with: the mark of gzip. JSON never does.
var packMark = []byte{0x1f, 0x8b}

// pack compresses large tables: those of 2,800 groups would not fit into the store's value, and each
// proxy gets each change.
func pack(data []byte) ([]byte, error) {
	if len(data) >= packedFrom {
		var b bytes.Buffer
		w := gzip.NewWriter(&b)
		if _, err := w.Write(data); err != nil {
			return nil, errors.Trace(err)
		}
		if err := w.Close(); err != nil {
			return nil, errors.Trace(err)
		}
		data = b.Bytes()
	}
	if len(data) > maxStoredBytes {
		return nil, errors.QuotaLimitExceededf("tables of %d bytes, with a limit of %d,", len(data), maxStoredBytes)
	}
	return data, nil
}

// unpack reads what pack wrote. It reads no more than the largest text.
func unpack(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, packMark) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Annotate(err, "packed tables")
	}
	text, err := io.ReadAll(io.LimitReader(r, form.MaxBytes+1))
	return text, errors.Annotate(err, "packed tables")
}
