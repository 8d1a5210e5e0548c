// Package document stores a long text that changes often by small amounts. Successive
// versions share their common parts in memory, a change is transferred as a patch, and
// the cost of applying a patch is proportional to the patch and not to the text.
package document

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Document is one version of a text. It is immutable and shares its pieces with the
// documents that it was derived from. The zero value is the empty text.
type Document struct {
	pieces []piece
	size   int
	// sum is the hash of the whole text, as computed by the creator of the text.
	sum uint64
}

// piece is a part of the text with its offset.
type piece struct {
	offset int
	data   []byte
}

// maxPieces is the maximum number of pieces of one document; beyond it, they are merged
// into one. Merging copies the whole text and happens about once in a hundred changes.
const maxPieces = 256

// Patch transforms one text into another.
type Patch struct {
	// Size and Sum are the length and the hash of the new text.
	Size int    `cbor:"1,keyasint"`
	Sum  uint64 `cbor:"2,keyasint"`
	// Base is the hash of the old text; that of the empty text is 0.
	Base uint64 `cbor:"3,keyasint,omitempty"`
	Ops  []Op   `cbor:"4,keyasint,omitempty"`
}

// Op appends to the new text: Data if it is not empty, otherwise Len bytes of the old
// text at offset From.
type Op struct {
	_    struct{} `cbor:",toarray"`
	From int
	Len  int
	Data []byte
}

// ErrBase is returned by Apply for a patch to a different text.
var ErrBase = errors.New("patch applies to a different text")

// ErrPatch is returned by Apply for a patch with an invalid range or size.
var ErrPatch = errors.New("invalid patch")

// ErrSum is returned by Bytes if the hash of the text does not match the expected one.
var ErrSum = errors.New("hash of the text does not match")

// New returns the document of a text. The text must not be modified afterwards.
func New(text []byte) Document {
	if len(text) == 0 {
		return Document{}
	}
	return Document{pieces: []piece{{data: text}}, size: len(text), sum: xxhash.Sum64(text)}
}

// Len returns the length of the text in bytes.
func (d Document) Len() int { return d.size }

// Bytes returns the text, or ErrSum.
func (d Document) Bytes() ([]byte, error) {
	text := d.concat()
	if len(text) > 0 && xxhash.Sum64(text) != d.sum {
		return nil, errors.Wrapf(ErrSum, "%d bytes", len(text))
	}
	return text, nil
}

func (d Document) concat() []byte {
	if len(d.pieces) == 1 {
		return d.pieces[0].data
	}
	text := make([]byte, 0, d.size)
	for _, p := range d.pieces {
		text = append(text, p.data...)
	}
	return text
}

// Apply returns the document after applying a patch, or ErrBase or ErrPatch.
func (d Document) Apply(p Patch) (Document, error) {
	if p.Base != d.sum {
		return Document{}, errors.Wrapf(ErrBase, "base is %x, current text is %x", p.Base, d.sum)
	}
	next := Document{sum: p.Sum}
	for _, op := range p.Ops {
		if len(op.Data) > 0 {
			next.appendData(op.Data)
			continue
		}
		if op.From < 0 || op.Len <= 0 || op.Len > d.size || op.From > d.size-op.Len {
			return Document{}, errors.Wrapf(ErrPatch, "%d bytes at offset %d of a text of %d bytes", op.Len, op.From, d.size)
		}
		if op.Len > p.Size-next.size {
			return Document{}, errors.Wrapf(ErrPatch, "new text is larger than %d bytes", p.Size)
		}
		next.copy(d, op.From, op.Len)
	}
	if next.size != p.Size {
		return Document{}, errors.Wrapf(ErrPatch, "new text has %d bytes, want %d", next.size, p.Size)
	}
	if len(next.pieces) > maxPieces {
		next.pieces = []piece{{data: next.concat()}}
	}
	return next, nil
}

func (d *Document) appendData(data []byte) {
	d.pieces = append(d.pieces, piece{offset: d.size, data: data})
	d.size += len(data)
}

// copy appends length bytes of from, starting at offset. The range must be within
// from.
func (d *Document) copy(from Document, offset, length int) {
	i, found := slices.BinarySearchFunc(from.pieces, offset, func(p piece, at int) int { return p.offset - at })
	if !found {
		i--
	}
	for length > 0 {
		p := from.pieces[i]
		skip := offset - p.offset
		n := min(length, len(p.data)-skip)
		d.appendData(p.data[skip : skip+n])
		offset, length, i = offset+n, length-n, i+1
	}
}
