// Package token encodes a session's floor as an authenticated token, so that the session can continue
// on another proxy.
//
// A caller receives the token as the parameter egretlane.token at the end of each request, and sends
// it back when it connects. A token is bound to the caller and the database that it was made for. Its
// content is not secret, but a token can't be made or changed without a key:
//
//	s := token.Signer{
//		Keys: keys,
//	}
//	text := s.Sign("workshop", "catalogo-db", floor.Positions())
//	floor, err := s.Verify("workshop", "catalogo-db", text)
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"os"
	"strings"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/lanepb"
)

const (
	// macBytes is the length of the message authentication code (MAC) that precedes the payload.
	macBytes = 16

	// minKeyBytes is the minimum length of a key.
	minKeyBytes = 16

	// maxSignedBytes is the maximum length of a token that is made. PostgreSQL limits the start-up packet in which a caller sends
	// it, with its other parameters, to 10,000 bytes.
	maxSignedBytes = 8 << 10

	// maxTokenBytes is the maximum length of an encoded token that is verified. Longer ones are rejected without
	// decoding.
	maxTokenBytes = 64 << 10
)

// marksField is the number of Token's field of positions.
const marksField = 1

// ErrInvalid reports that this system has not made the token for the caller and the database.
const ErrInvalid = errors.ConstError("the token was not made for this caller and database")

// Signer makes and verifies tokens. It is safe for concurrent use.
type Signer struct {
	// Keys has at least one key. Tokens are made with the first and verified with any, so that keys
	// can be rotated while sessions are open.
	Keys [][]byte
}

// Sign returns a token with the positions, the most important first. Those that don't fit into a token are left out.
func (s *Signer) Sign(caller, database string, positions []egret.GroupPosition) string {
	t := &lanepb.Token{}
	remaining := base64.RawURLEncoding.DecodedLen(maxSignedBytes) - macBytes
	for _, p := range positions {
		m := &lanepb.Mark{
			Group: p.Group,
			Position: &lanepb.Position{
				Term:   p.Position.Term,
				Offset: p.Position.Offset,
			},
		}
		remaining -= protowire.SizeTag(marksField) + protowire.SizeBytes(proto.Size(m))
		if remaining < 0 {
			break
		}
		t.Marks = append(t.Marks, m)
	}
	payload, err := proto.Marshal(t)
	if err != nil {
		// Marshal fails only for strings that aren't UTF-8, and the names in tables are checked for that.
		return ""
	}
	raw := append(computeMAC(s.Keys[0], caller, database, payload), payload...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Verify verifies the token and returns its floor. If it is invalid, the cause of the error is
// ErrInvalid.
func (s *Signer) Verify(caller, database, text string) (egret.Floor, error) {
	if len(text) > maxTokenBytes {
		return egret.Floor{}, errors.Trace(ErrInvalid)
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < macBytes {
		return egret.Floor{}, errors.Trace(ErrInvalid)
	}
	payload := raw[macBytes:]
	if !s.authentic(raw[:macBytes], caller, database, payload) {
		return egret.Floor{}, errors.Trace(ErrInvalid)
	}
	t := &lanepb.Token{}
	if err := proto.Unmarshal(payload, t); err != nil {
		return egret.Floor{}, errors.Trace(ErrInvalid)
	}
	f := egret.Floor{}
	for _, m := range t.GetMarks() {
		f.Raise(m.GetGroup(), egret.Position{
			Term:   m.GetPosition().GetTerm(),
			Offset: m.GetPosition().GetOffset(),
		})
	}
	return f, nil
}

// authentic reports whether the MAC was made with one of the keys.
func (s *Signer) authentic(mac []byte, caller, database string, payload []byte) bool {
	for _, k := range s.Keys {
		if hmac.Equal(mac, computeMAC(k, caller, database, payload)) {
			return true
		}
	}
	return false
}

// computeMAC returns the MAC of the payload, the caller and the database. Names can't contain a zero
// byte, since the protocol terminates them with one, so it separates them unambiguously.
func computeMAC(key []byte, caller, database string, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(caller))
	h.Write([]byte{0})
	h.Write([]byte(database))
	h.Write([]byte{0})
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}

// ReadKeys reads keys from a file with one key per line, newest first.
func ReadKeys(path string) ([][]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "token keys")
	}
	var keys [][]byte
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		if len(line) < minKeyBytes {
			return nil, errors.Errorf("token keys %s, line %d: the key has fewer than %d bytes", path, i+1, minKeyBytes)
		}
		keys = append(keys, []byte(line))
	}
	if len(keys) == 0 {
		return nil, errors.Errorf("token keys %s: the file has no key", path)
	}
	return keys, nil
}
