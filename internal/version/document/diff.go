package document

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// blockSize is how many bytes two texts must share at a block's border for the shared
// part to be found. The smaller, the more of a text with many small changes is shared,
// and the longer a comparison takes.
const blockSize = 64

// rollBase is the multiplier of the rolling hash (Karp and Rabin, "Efficient randomized
// pattern-matching algorithms", 1987).
const rollBase = 0x9E3779B97F4A7C15

// Diff returns the patch that leads from a document to a text. What is shared is found
// by the hashes of the old text's blocks, as in Tridgell and Mackerras, "The rsync
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
	w := differ{old: old, to: to, blocks: blocksOf(old)}
	w.run()
	p.Ops = w.ops
	return p, nil
}

// blocksOf finds the blocks of a text by their hash.
func blocksOf(text []byte) map[uint64]int {
	blocks := make(map[uint64]int, len(text)/blockSize)
	for at := 0; at+blockSize <= len(text); at += blockSize {
		blocks[rollHash(text[at:at+blockSize])] = at
	}
	return blocks
}

// differ writes the operations that lead from old to to.
type differ struct {
	old, to []byte
	blocks  map[uint64]int
	ops     []Op
	// done is how much of to the operations have written.
	done int
}

func (w *differ) run() {
	w.match(0, 0)
	for at := w.done; at+blockSize <= len(w.to); {
		hash := rollHash(w.to[at : at+blockSize])
		for {
			if from, ok := w.blocks[hash]; ok && w.match(from, at) {
				at = w.done
				break
			}
			if at+blockSize >= len(w.to) {
				at = len(w.to)
				break
			}
			hash = roll(hash, w.to[at], w.to[at+blockSize])
			at++
		}
	}
	w.insert(len(w.to))
}

// match writes what the old text has at from and the new at at, with what they share to
// both sides of it, and reports whether that is a block or more.
func (w *differ) match(from, at int) bool {
	n := sharedPrefix(w.old[from:], w.to[at:])
	if n < blockSize {
		return false
	}
	for at > w.done && from > 0 && w.old[from-1] == w.to[at-1] {
		from, at, n = from-1, at-1, n+1
	}
	w.insert(at)
	w.ops = append(w.ops, Op{From: from, Len: n})
	w.done = at + n
	return true
}

// insert writes the new text up to end as it is.
func (w *differ) insert(end int) {
	if end > w.done {
		w.ops = append(w.ops, Op{Data: bytes.Clone(w.to[w.done:end])})
		w.done = end
	}
}

func sharedPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// rollHash is the hash of one block.
func rollHash(block []byte) uint64 {
	var hash uint64
	for _, b := range block {
		hash = hash*rollBase + uint64(b)
	}
	return hash
}

// rollOut is rollBase to the power of blockSize.
var rollOut = func() uint64 {
	power := uint64(1)
	for range blockSize {
		power *= rollBase
	}
	return power
}()

// roll is the hash of the block one byte further on.
func roll(hash uint64, out, in byte) uint64 {
	return hash*rollBase + uint64(in) - rollOut*uint64(out)
}
