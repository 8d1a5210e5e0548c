package manifest

import "github.com/daisygate/daisygate/internal/strictyaml"

// MaxBytes is the maximum size of a manifest, regardless of a listener's limit.
const MaxBytes = 4 << 20

// Fault is one error in a manifest, with its position.
type Fault = strictyaml.Fault

// Faults lists all errors in one manifest.
type Faults = strictyaml.Faults

// Parse decodes and validates a manifest and replaces API keys with their digests. The
// error, if any, is a Faults that lists all errors in the manifest.
func Parse(raw []byte) (*Manifest, error) {
	var m Manifest
	doc := strictyaml.Decode(raw, MaxBytes, &m)
	if doc.Parsed() {
		m.check(doc)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	m.digestKeys()
	return &m, nil
}

// ValidateAndDigest checks a manifest as Validate does and replaces API keys with their
// digests.
func (m *Manifest) ValidateAndDigest() error {
	if err := m.Validate(); err != nil {
		return err
	}
	m.digestKeys()
	return nil
}

// Validate checks a manifest that was built in memory. The error, if any, is a
// Faults that lists all errors in the manifest.
func (m *Manifest) Validate() error {
	doc := strictyaml.NewDocument()
	m.check(doc)
	return doc.Err()
}
