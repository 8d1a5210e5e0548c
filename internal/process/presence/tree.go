package presence

// The digest tree covers the stamps of all alive records: a hash tree with a fixed
// fan-out, whose leaves are ranges of IDs, after Merkle, "A digital signature based on
// a conventional encryption function" (1987). The hash of a leaf is the XOR of the
// hashes of its stamps, and that of an inner node the XOR of its children, so that a
// change costs one operation per level.
const (
	levels   = 3
	fanBits  = 4
	fanOut   = 1 << fanBits
	leafBits = levels * fanBits
	leaves   = 1 << leafBits
)

type tree struct {
	leaf [leaves]uint64
	mid  [leaves / fanOut]uint64
	top  [fanOut]uint64
	root uint64
}

// leafOf returns the leaf of an ID.
func leafOf(id ID) uint16 { return uint16(id >> (64 - leafBits)) }

// toggle adds a stamp that is missing or removes one that is present.
func (t *tree) toggle(s Stamp) {
	h, i := s.hash(), leafOf(s.ID)
	t.leaf[i] ^= h
	t.mid[i>>fanBits] ^= h
	t.top[i>>(2*fanBits)] ^= h
	t.root ^= h
}

// digest returns the digest of one tree node; ok is false if the node does not exist.
func (t *tree) digest(level uint8, index uint16) (d Digest, ok bool) {
	parts := [][]uint64{{t.root}, t.top[:], t.mid[:], t.leaf[:]}
	if int(level) >= len(parts) || int(index) >= len(parts[level]) {
		return Digest{}, false
	}
	return Digest{Level: level, Index: index, Hash: uint32(parts[level][index])}, true
}

// children returns the digests of the children of a tree node.
func (t *tree) children(level uint8, index uint16) []Digest {
	digests := make([]Digest, 0, fanOut)
	for i := range uint16(fanOut) {
		if d, ok := t.digest(level+1, index<<fanBits|i); ok {
			digests = append(digests, d)
		}
	}
	return digests
}
