package table

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/juju/errors"

	"egretlane.example/egret/table/codec"
)

const (
	// compressThresholdBytes is the size from which tables are compressed. Smaller ones stay readable in the
	// store.
	compressThresholdBytes = 16 << 10

	// maxStoredBytes is the largest value that the store accepts.
	maxStoredBytes = 1_000_000
)

// gzipMagic is the magic number at the start of gzip data. No JSON text starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// compress compresses large tables. Uncompressed, tables of 2,800 groups exceed the store's limit for a value,
// and every change is sent to every proxy.
func compress(data []byte) ([]byte, error) {
	if len(data) >= compressThresholdBytes {
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
		return nil, errors.QuotaLimitExceededf("compressed tables of %d bytes exceed the store's limit of %d", len(data), maxStoredBytes)
	}
	return data, nil
}

// decompress reverses compress. Of compressed data it reads at most one byte more than codec.MaxBytes, the largest
// text that is accepted.
func decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Annotate(err, "decompressing tables")
	}
	text, err := io.ReadAll(io.LimitReader(r, codec.MaxBytes+1))
	return text, errors.Annotate(err, "decompressing tables")
}
