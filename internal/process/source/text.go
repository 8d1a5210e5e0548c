package source

import (
	"sync"

	"github.com/daisygate/daisygate/internal/version/document"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// mostText bounds a manifest as its operator wrote it.
const mostText = 48 << 20

// text is one manifest as its operator wrote it. It is immutable.
type text struct {
	document document.Document
	// packed is what pack returns, made once at most.
	once   sync.Once
	packed []byte
	err    error
}

// newText is the text after a change; it is packed when it is asked for.
func newText(d document.Document) *text { return &text{document: d} }

// unpackText reads what pack returned. What cannot be unpacked is kept as it is, and no
// change is made of it.
func unpackText(packed []byte) *text {
	t := &text{packed: packed}
	t.once.Do(func() {})
	if raw, err := fleet.Unpack(packed, mostText); err == nil {
		t.document = document.New(raw)
	}
	return t
}

// pack returns the whole text as it travels and is kept.
func (t *text) pack() ([]byte, error) {
	t.once.Do(func() {
		var raw []byte
		if raw, t.err = t.document.Bytes(); t.err == nil && len(raw) > 0 {
			t.packed = fleet.Pack(raw)
		}
	})
	return t.packed, t.err
}

// documentOf returns the document of a text that may not be there.
func documentOf(t *text) document.Document {
	if t == nil {
		return document.Document{}
	}
	return t.document
}
