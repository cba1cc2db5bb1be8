package fleet

import "strconv"

// Revision orders the changes of the store, also across its eras: a revision of a later era is greater than any of an
// earlier one. The zero value comes before all.
type Revision uint64

// revisionNumberBits is the size of the number within an era. It leaves room for 65,536 eras.
const revisionNumberBits = 48

// NewRevision returns the revision with a number that the store gave out in an era.
func NewRevision(era, number uint64) Revision {
	return Revision(era<<revisionNumberBits | number&(1<<revisionNumberBits-1))
}

// Era returns the era in which the store gave out the revision. It rises when the store returns from an older copy.
func (r Revision) Era() uint64 { return uint64(r) >> revisionNumberBits }

// Number returns the revision as the store gave it out. Numbers of different eras cannot be compared.
func (r Revision) Number() uint64 { return uint64(r) & (1<<revisionNumberBits - 1) }

// String formats the revision as ERA.NUMBER, or NUMBER if the store has no eras.
func (r Revision) String() string {
	const base = 10
	number := strconv.FormatUint(r.Number(), base)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(r.Era(), base) + "." + number
}
