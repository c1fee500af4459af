// Package token seals a session's floor, so that the session can move to another proxy.
//
// A caller gets the token as the parameter egretlane.token at the end of each request, and hands it
// back when it connects. A token is bound to the caller and the database that it was made for. It
// holds no secret, but nobody without the key can make or change one:
//
//	s := token.Sealer{
//		Keys: keys,
//	}
//	text := s.Seal("workshop", "catalogo-db", &floor)
//	floor, err := s.Open("workshop", "catalogo-db", text)
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"os"
	"strings"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/lanepb"
)

const (
	// macBytes is the length of the code in front of a token's payload.
	macBytes = 16

	// minKeyBytes is the length of the shortest key accepted.
	minKeyBytes = 16

	// maxTextBytes bounds the tokens that are looked at.
	maxTextBytes = 64 << 10
)

// ErrForged says that a token was not made by this system for the caller and the database.
const ErrForged = errors.ConstError("the token was not made for this caller and database")

// Sealer makes and opens tokens. It is safe for concurrent use.
type Sealer struct {
	// Keys has at least one key. The first seals, and each opens, so that keys can be replaced
	// without breaking sessions.
	Keys [][]byte
}

// Seal returns the token of a floor.
func (s *Sealer) Seal(caller, database string, f *egret.Floor) string {
	t := &lanepb.Token{}
	for _, m := range f.Marks() {
		t.Marks = append(t.Marks, &lanepb.Mark{
			Group: m.Group,
			Position: &lanepb.Position{
				Term:   m.Position.Term,
				Offset: m.Position.Offset,
			},
		})
	}
	payload, err := proto.Marshal(t)
	if err != nil {
		// Only a string that isn't UTF-8 fails, and table names are checked for that.
		return ""
	}
	sealed := append(code(s.Keys[0], caller, database, payload), payload...)
	return base64.RawURLEncoding.EncodeToString(sealed)
}

// Open returns the floor that the token holds. The error's cause is ErrForged.
func (s *Sealer) Open(caller, database, text string) (egret.Floor, error) {
	if len(text) > maxTextBytes {
		return egret.Floor{}, errors.Trace(ErrForged)
	}
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(sealed) < macBytes {
		return egret.Floor{}, errors.Trace(ErrForged)
	}
	payload := sealed[macBytes:]
	if !s.made(sealed[:macBytes], caller, database, payload) {
		return egret.Floor{}, errors.Trace(ErrForged)
	}
	t := &lanepb.Token{}
	if err := proto.Unmarshal(payload, t); err != nil {
		return egret.Floor{}, errors.Trace(ErrForged)
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

func (s *Sealer) made(mac []byte, caller, database string, payload []byte) bool {
	for _, k := range s.Keys {
		if hmac.Equal(mac, code(k, caller, database, payload)) {
			return true
		}
	}
	return false
}

// code authenticates the payload together with whom it is for. Names hold no zero byte, since the
// protocol ends them with one.
func code(key []byte, caller, database string, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(caller))
	h.Write([]byte{0})
	h.Write([]byte(database))
	h.Write([]byte{0})
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}

// ReadKeys reads keys from a file, one a line, the newest first.
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
