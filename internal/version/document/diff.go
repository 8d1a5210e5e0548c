package document

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// blockSize is the size in bytes of the blocks by which shared parts are found: a
// shared part is found only if it contains an aligned block of the old text. A smaller
// size finds more shared parts in a text with many small changes, but makes the
// comparison slower.
const blockSize = 64

// hashBase is the multiplier of the rolling hash (Karp and Rabin, "Efficient randomized
// pattern-matching algorithms", 1987).
const hashBase = 0x9E3779B97F4A7C15

// Diff returns the patch from a document to a new text. It finds shared parts by the
// rolling hashes of the old text's blocks, as in Tridgell and Mackerras, "The rsync
// algorithm" (1996).
func Diff(from Document, to []byte) (Patch, error) {
	old, err := from.Bytes()
	if err != nil {
		return Patch{}, err
	}
	p := Patch{Size: len(to), Base: from.sum}
	if len(to) == 0 {
		return p, nil
	}
	p.Sum = xxhash.Sum64(to)
	d := differ{old: old, to: to, blocks: indexBlocks(old)}
	d.run()
	p.Ops = d.ops
	return p, nil
}

// indexBlocks maps the hash of each block of a text to the block's offset.
func indexBlocks(text []byte) map[uint64]int {
	blocks := make(map[uint64]int, len(text)/blockSize)
	for offset := 0; offset+blockSize <= len(text); offset += blockSize {
		blocks[blockHash(text[offset:offset+blockSize])] = offset
	}
	return blocks
}

// differ generates the operations that transform old into to.
type differ struct {
	old, to []byte
	// blocks maps the hashes of the blocks of old to their offsets.
	blocks map[uint64]int
	ops    []Op
	// written is the length of the prefix of to that ops produce.
	written int
}

func (d *differ) run() {
	d.copyMatch(0, 0)
	for pos := d.written; pos+blockSize <= len(d.to); {
		hash := blockHash(d.to[pos : pos+blockSize])
		for {
			if from, ok := d.blocks[hash]; ok && d.copyMatch(from, pos) {
				pos = d.written
				break
			}
			if pos+blockSize >= len(d.to) {
				pos = len(d.to)
				break
			}
			hash = rollHash(hash, d.to[pos], d.to[pos+blockSize])
			pos++
		}
	}
	d.insert(len(d.to))
}

// copyMatch extends the match between offset from of the old text and offset pos of the
// new text in both directions. If it spans at least one block, copyMatch writes the text
// before it and a copy operation for the match, and returns true.
func (d *differ) copyMatch(from, pos int) bool {
	n := commonPrefixLen(d.old[from:], d.to[pos:])
	if n < blockSize {
		return false
	}
	for pos > d.written && from > 0 && d.old[from-1] == d.to[pos-1] {
		from, pos, n = from-1, pos-1, n+1
	}
	d.insert(pos)
	d.ops = append(d.ops, Op{From: from, Len: n})
	d.written = pos + n
	return true
}

// insert writes an operation with the literal bytes of the new text up to end.
func (d *differ) insert(end int) {
	if end > d.written {
		d.ops = append(d.ops, Op{Data: bytes.Clone(d.to[d.written:end])})
		d.written = end
	}
}

func commonPrefixLen(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// blockHash returns the hash of one block.
func blockHash(block []byte) uint64 {
	var hash uint64
	for _, b := range block {
		hash = hash*hashBase + uint64(b)
	}
	return hash
}

// hashBasePower is hashBase to the power of blockSize.
var hashBasePower = func() uint64 {
	power := uint64(1)
	for range blockSize {
		power *= hashBase
	}
	return power
}()

// rollHash returns the hash of the block that starts one byte later: it removes byte out
// at the front and appends byte in.
func rollHash(hash uint64, out, in byte) uint64 {
	return hash*hashBase + uint64(in) - hashBasePower*uint64(out)
}
