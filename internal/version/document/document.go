// Package document keeps a long text through many small changes: what two successive
// texts share is held once, a change travels as the difference alone, and taking it in
// costs in proportion to the difference and not to the text.
package document

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Document is one text. It is immutable, and shares its pieces with the documents that it
// was made from. The zero value is the empty text.
type Document struct {
	pieces []piece
	size   int
	// sum is the hash of the whole text, as the one who made it saw it.
	sum uint64
}

// piece is a part of the text and where it begins.
type piece struct {
	start int
	data  []byte
}

// mostPieces bounds the pieces of one document: more are joined to one. Joining costs as
// much as copying the text, and comes once in about a hundred changes.
const mostPieces = 256

// Patch leads from one text to another.
type Patch struct {
	// Size and Sum are the length and the hash of the text that must result.
	Size int    `cbor:"1,keyasint"`
	Sum  uint64 `cbor:"2,keyasint"`
	// Base is the hash of the text that is changed; that of the empty text is 0.
	Base uint64 `cbor:"3,keyasint,omitempty"`
	Ops  []Op   `cbor:"4,keyasint,omitempty"`
}

// Op appends to the new text: Data if there is any, else a part of the old text.
type Op struct {
	_    struct{} `cbor:",toarray"`
	From int
	Len  int
	Data []byte
}

// ErrBase is returned by Apply for a patch of another text.
var ErrBase = errors.New("patch of another text")

// ErrPatch is returned by Apply for a patch that does not fit its text.
var ErrPatch = errors.New("patch does not fit the text")

// ErrSum is returned by Bytes where the text is not the one that was handed in.
var ErrSum = errors.New("text has another hash than the one handed in")

// New returns the document of a text, which must not be changed any more.
func New(text []byte) Document {
	if len(text) == 0 {
		return Document{}
	}
	return Document{pieces: []piece{{data: text}}, size: len(text), sum: xxhash.Sum64(text)}
}

// Len is the length of the text in bytes.
func (d Document) Len() int { return d.size }

// Bytes returns the text, or ErrSum.
func (d Document) Bytes() ([]byte, error) {
	text := d.join()
	if len(text) > 0 && xxhash.Sum64(text) != d.sum {
		return nil, errors.Wrapf(ErrSum, "%d bytes", len(text))
	}
	return text, nil
}

func (d Document) join() []byte {
	if len(d.pieces) == 1 {
		return d.pieces[0].data
	}
	text := make([]byte, 0, d.size)
	for _, p := range d.pieces {
		text = append(text, p.data...)
	}
	return text
}

// Apply returns the document after a patch, or ErrBase or ErrPatch.
func (d Document) Apply(p Patch) (Document, error) {
	if p.Base != d.sum {
		return Document{}, errors.Wrapf(ErrBase, "of %x, here is %x", p.Base, d.sum)
	}
	next := Document{sum: p.Sum}
	for _, op := range p.Ops {
		if len(op.Data) > 0 {
			next.add(op.Data)
			continue
		}
		if op.From < 0 || op.Len <= 0 || op.Len > d.size || op.From > d.size-op.Len {
			return Document{}, errors.Wrapf(ErrPatch, "%d bytes from %d of %d", op.Len, op.From, d.size)
		}
		if op.Len > p.Size-next.size {
			return Document{}, errors.Wrapf(ErrPatch, "more than the %d bytes announced", p.Size)
		}
		next.copy(d, op.From, op.Len)
	}
	if next.size != p.Size {
		return Document{}, errors.Wrapf(ErrPatch, "%d bytes, announced %d", next.size, p.Size)
	}
	if len(next.pieces) > mostPieces {
		next.pieces = []piece{{data: next.join()}}
	}
	return next, nil
}

func (d *Document) add(data []byte) {
	d.pieces = append(d.pieces, piece{start: d.size, data: data})
	d.size += len(data)
}

// copy appends a part of another document, which holds it.
func (d *Document) copy(from Document, start, length int) {
	i, found := slices.BinarySearchFunc(from.pieces, start, func(p piece, at int) int { return p.start - at })
	if !found {
		i--
	}
	for length > 0 {
		p := from.pieces[i]
		skip := start - p.start
		n := min(length, len(p.data)-skip)
		d.add(p.data[skip : skip+n])
		start, length, i = start+n, length-n, i+1
	}
}
