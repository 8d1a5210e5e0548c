package manifest

import "github.com/daisygate/daisygate/internal/strictyaml"

// MaxBytes is the most bytes of a manifest, whatever a listener's limit.
const MaxBytes = 4 << 20

// Fault is one thing wrong with a manifest, with its place.
type Fault = strictyaml.Fault

// Faults is every fault of one manifest.
type Faults = strictyaml.Faults

// Parse reads and checks a manifest. The error, if any, is a Faults that lists
// everything wrong with it.
func Parse(raw []byte) (*Manifest, error) {
	var m Manifest
	doc := strictyaml.Decode(raw, MaxBytes, &m)
	if doc.Whole() {
		m.check(doc)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return &m, nil
}

// Validate lists every fault of a manifest that was built in memory, or returns
// nil.
func (m *Manifest) Validate() error {
	doc := strictyaml.NewDocument()
	m.check(doc)
	return doc.Err()
}
