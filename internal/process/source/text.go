package source

import (
	"sync"

	"github.com/daisygate/daisygate/internal/version/document"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// maxTextBytes bounds the decompressed size of a manifest's source text.
const maxTextBytes = 48 << 20

// manifestText is the source text of a manifest, as written by the operator. It is
// immutable and safe for concurrent use.
type manifestText struct {
	document document.Document
	// packed and err are the result of pack, computed at most once.
	once   sync.Once
	packed []byte
	err    error
}

// newManifestText returns the text of d, which is compressed on the first call of pack.
func newManifestText(d document.Document) *manifestText { return &manifestText{document: d} }

// unpackManifestText decompresses a text returned by pack. If decompression fails, the
// packed form is kept unchanged and the document is empty, so that no patch is based on it.
func unpackManifestText(packed []byte) *manifestText {
	t := &manifestText{packed: packed}
	t.once.Do(func() {})
	if raw, err := fleet.Unpack(packed, maxTextBytes); err == nil {
		t.document = document.New(raw)
	}
	return t
}

// pack returns the compressed text, as used on the wire and in snapshots.
func (t *manifestText) pack() ([]byte, error) {
	t.once.Do(func() {
		var raw []byte
		if raw, t.err = t.document.Bytes(); t.err == nil && len(raw) > 0 {
			t.packed = fleet.Pack(raw)
		}
	})
	return t.packed, t.err
}

// documentOrEmpty returns the document of a text, or an empty document if t is nil.
func documentOrEmpty(t *manifestText) document.Document {
	if t == nil {
		return document.Document{}
	}
	return t.document
}
