package main

import (
	"encoding/binary"
	"fmt"
	"math/bits"
	"sync"
	"time"

	"egretlane.example/egret/egretlab/dbsim"
)

// The primes of XXH64.
const (
	prime1 = 11400714785074694791
	prime2 = 14029467366897019727
	prime3 = 1609587929392839161
	prime4 = 9650029242287828579
	prime5 = 2870177450012600261
)

// xxh64 is XXH64 with seed 0 of a text that is shorter than 32 bytes.
func xxh64(s string) uint64 {
	h := uint64(prime5) + uint64(len(s))
	for ; len(s) >= 8; s = s[8:] {
		h ^= lane(binary.LittleEndian.Uint64([]byte(s[:8])))
		h = bits.RotateLeft64(h, 27)*prime1 + prime4
	}
	if len(s) >= 4 {
		h ^= uint64(binary.LittleEndian.Uint32([]byte(s[:4]))) * prime1
		h = bits.RotateLeft64(h, 23)*prime2 + prime3
		s = s[4:]
	}
	for ; s != ""; s = s[1:] {
		h ^= uint64(s[0]) * prime5
		h = bits.RotateLeft64(h, 11) * prime1
	}
	h ^= h >> 33
	h *= prime2
	h ^= h >> 29
	h *= prime3
	return h ^ h>>32
}

func lane(x uint64) uint64 { return bits.RotateLeft64(x*prime2, 31) * prime1 }

// inverse returns the inverse of an odd number modulo 2^64.
func inverse(x uint64) uint64 {
	y := x
	for range 6 {
		y *= 2 - x*y
	}
	return y
}

// sameHash returns a text of 16 letters, digits and signs with the given hash.
func sameHash(h uint64) string {
	// Undo the end of the function: the shifts, from the last to the first, and the products.
	h ^= h >> 32
	h *= inverse(prime3)
	h = h ^ h>>29 ^ h>>58
	h *= inverse(prime2)
	h ^= h >> 33
	last := bits.RotateLeft64((h-prime4)*inverse(prime1), -27)
	for n := uint64(0); ; n++ {
		first := make([]byte, 8)
		for i, v := 0, n; i < 8; i++ {
			first[i] = "abcdefghijklmnop"[v&15]
			v >>= 4
		}
		state := uint64(prime5) + 16
		state ^= lane(binary.LittleEndian.Uint64(first))
		state = bits.RotateLeft64(state, 27)*prime1 + prime4
		second := make([]byte, 8)
		binary.LittleEndian.PutUint64(second, bits.RotateLeft64((state^last)*inverse(prime1), -31)*inverse(prime2))
		if printable(second) {
			return string(first) + string(second)
		}
	}
}

func printable(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// shapesCase: a caller prepares a shape that was chosen to have the same hash as that of another caller.
func shapesCase(w *world, trouble bool) (bool, error) {
	const shape = "q2c"
	w.addGroup("dele69a", 2, 16, 8*time.Millisecond)
	if err := w.startPlatform(); err != nil {
		return false, err
	}
	w.writeConfig([]routeConfig{stockRoute("stock-check", "hucu512", "dele69a")})
	other := sameHash(xxh64(shape))
	if !trouble {
		other = "x" + other[1:]
	}
	w.logf("hash of %q: %x, of %q: %x", shape, xxh64(shape), other, xxh64(other))
	mu := sync.Mutex{}
	expected, wrong, checked := map[string]string{}, 0, 0
	w.hooks = append(w.hooks, func(r dbsim.Execution) {
		mu.Lock()
		defer mu.Unlock()
		want, found := expected[r.ID]
		if !found {
			return
		}
		checked++
		if r.Shape != want {
			wrong++
			w.logf("PINNED: %s ran %s %q with shape %q, its client prepared %q", r.Member, r.ID, r.Text, r.Shape, want)
		}
	})
	if err := w.startProxies(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	wg := sync.WaitGroup{}
	errs := make(chan error, 12)
	for i := range 12 {
		own := shape
		if i%2 == 1 {
			own = other
		}
		wg.Go(func() {
			errs <- w.executeOften(w.proxies[i%3], own, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				expected[id] = own
			})
		})
	}
	wg.Wait()
	for range 12 {
		if err := <-errs; err != nil {
			return false, err
		}
	}
	mu.Lock()
	defer mu.Unlock()
	w.logf("%d statements checked, %d ran another shape than their client prepared", checked, wrong)
	if checked == 0 {
		return false, fmt.Errorf("nothing was checked")
	}
	return wrong > 0, nil
}

// executeOften prepares the shape under a name that all callers use, and executes it.
func (w *world) executeOften(p *proxyProcess, shape string, sent func(id string)) error {
	c, err := open(p, "hucu512")
	if err != nil {
		return err
	}
	defer c.conn.Close()
	if a, err := c.do(newID(), "PREPARE s1 READ "+shape, 5*time.Second); err != nil || a.code != "" {
		return fmt.Errorf("prepare: %v %q", err, a.code)
	}
	for i := range 40 {
		id := newID()
		sent(id)
		a, err := c.do(id, fmt.Sprintf("EXECUTE s1 1%x", i), 5*time.Second)
		if err != nil {
			return err
		}
		w.logf("%s EXECUTE s1 1%x of a session that prepared %q: %q %q", id, i, shape, a.signature, a.code)
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}
