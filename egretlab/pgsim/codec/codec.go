// Package codec encodes values in the text and binary formats of the PostgreSQL protocol, and decodes parameters.
//
// A member holds each value in the text format. The binary format depends on the type of the column
// or the parameter:
//
//	data, err := codec.Encode(query.TypeInt8, codec.Binary, codec.Int(7))
package codec

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"egretlane.example/egret/egretlab/pgsim/query"
)

// The format codes of the protocol.
const (
	Text   int16 = 0
	Binary int16 = 1
)

// Column is a column of a result.
type Column struct {
	// Name is the column's name.
	Name string

	// Type is the column's type.
	Type query.Type
}

// Value is a value of any type, or NULL.
type Value struct {
	// Null is true if the value is NULL. Text is then ignored.
	Null bool

	// Text is the value in the protocol's text format.
	Text string
}

// String returns a string as a Value.
func String(s string) Value {
	return Value{
		Text: s,
	}
}

// Int returns an integer as a Value.
func Int(n int64) Value {
	return String(strconv.FormatInt(n, 10))
}

// Uint returns an unsigned integer as a Value. It must be below 1<<63 to fit the type int8.
func Uint(n uint64) Value {
	return String(strconv.FormatUint(n, 10))
}

// Bool returns a bool as a Value.
func Bool(b bool) Value {
	if b {
		return String("t")
	}
	return String("f")
}

// Encode returns a value in the given format, or nil for NULL.
func Encode(t query.Type, format int16, v Value) ([]byte, error) {
	if v.Null {
		return nil, nil
	}
	if format == Text {
		return []byte(v.Text), nil
	}
	switch t {
	case query.TypeInt8:
		n, err := strconv.ParseInt(v.Text, 10, 64)
		return binary.BigEndian.AppendUint64([]byte{}, uint64(n)), errors.Trace(err)
	case query.TypeInt4:
		n, err := strconv.ParseInt(v.Text, 10, 32)
		return binary.BigEndian.AppendUint32([]byte{}, uint32(n)), errors.Trace(err)
	case query.TypeFloat8:
		f, err := strconv.ParseFloat(v.Text, 64)
		return binary.BigEndian.AppendUint64([]byte{}, math.Float64bits(f)), errors.Trace(err)
	case query.TypeBool:
		if strings.HasPrefix(v.Text, "t") {
			return []byte{1}, nil
		}
		return []byte{0}, nil
	case query.TypeVoid:
		return []byte{}, nil
	default:
		return []byte(v.Text), nil
	}
}

// Decode returns the value of a parameter in the given format. Nil data is NULL.
func Decode(t query.Type, format int16, data []byte) (Value, error) {
	if data == nil {
		return Value{
			Null: true,
		}, nil
	}
	if format == Text || isTextType(t) {
		return String(string(data)), nil
	}
	size := binarySize(t)
	if size == 0 {
		return Value{}, errors.NotSupportedf("binary parameter of type %d", t)
	}
	if len(data) != size {
		return Value{}, errors.NotValidf("binary parameter of type %d with %d bytes", t, len(data))
	}
	switch t {
	case query.TypeInt8:
		return Int(int64(binary.BigEndian.Uint64(data))), nil
	case query.TypeInt4:
		return Int(int64(int32(binary.BigEndian.Uint32(data)))), nil
	case query.TypeInt2:
		return Int(int64(int16(binary.BigEndian.Uint16(data)))), nil
	case query.TypeFloat8:
		f := math.Float64frombits(binary.BigEndian.Uint64(data))
		return String(strconv.FormatFloat(f, 'g', -1, 64)), nil
	default:
		return Bool(data[0] != 0), nil
	}
}

// TypeSize returns the type size for a RowDescription message, which is -1 for a type of variable size.
func TypeSize(t query.Type) int16 {
	if n := binarySize(t); n > 0 {
		return int16(n)
	}
	if t == query.TypeVoid {
		return 4
	}
	return -1
}

// FormatCode returns the format code of the column or parameter at index i, from the list in a Bind message. An empty
// list means the text format, and a list of one code applies to all.
func FormatCode(formats []int16, i int) (int16, error) {
	var format int16
	switch {
	case len(formats) == 0:
		return Text, nil
	case len(formats) == 1:
		format = formats[0]
	case i < len(formats):
		format = formats[i]
	default:
		return Text, fmt.Errorf("%d format codes, and none for item %d", len(formats), i+1)
	}
	if format != Text && format != Binary {
		return Text, errors.NotValidf("format code %d", format)
	}
	return format, nil
}

func isTextType(t query.Type) bool {
	return t == query.TypeText || t == query.TypeVarchar || t == query.TypeUnknown || t == 0
}

// binarySize returns the number of bytes in the binary format, or zero if it varies or the type has none.
func binarySize(t query.Type) int {
	switch t {
	case query.TypeInt8, query.TypeFloat8:
		return 8
	case query.TypeInt4:
		return 4
	case query.TypeInt2:
		return 2
	case query.TypeBool:
		return 1
	default:
		return 0
	}
}
