package egret

import (
	"cmp"
	"strconv"
)

// Revision is the revision of a change in the platform's store. The zero value stands for none.
//
// A store that is restored from an older copy gives out numbers again. It begins a new era then, so that eras come first
// in the order of revisions.
type Revision struct {
	// Era is one more than the number of times that the store was restored, or zero if the store doesn't tell.
	Era uint64 `json:"era"`

	// Number increases with each change in an era. It is zero if there is no change: as the revision of a key, it says that
	// the key doesn't exist.
	Number uint64 `json:"number"`
}

// Exists reports whether the revision is that of a change.
func (r Revision) Exists() bool {
	return r.Number != 0
}

// Compare returns a negative number if r is older than other, a positive one if it is newer, and zero if both are equal.
func (r Revision) Compare(other Revision) int {
	if c := cmp.Compare(r.Era, other.Era); c != 0 {
		return c
	}
	return cmp.Compare(r.Number, other.Number)
}

// Before reports whether r is older than other.
func (r Revision) Before(other Revision) bool {
	return r.Compare(other) < 0
}

// String returns the era and the number, or only the number if the store tells no eras.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number, 10)
	if r.Era == 0 {
		return number
	}
	return strconv.FormatUint(r.Era, 10) + "." + number
}

// tokenNumberBits is the number of bits of a fencing token that the number of a revision takes. Those above it are the
// era's.
const tokenNumberBits = 40

// Token returns a number that increases with the revision, for as long as the numbers of an era have 40 bits.
func (r Revision) Token() uint64 {
	return r.Era<<tokenNumberBits | r.Number
}
