package manifest

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const organisationManifest = `
mesh: a
version: 1
services: [{name: s}]
routes: [{name: r, path: /, service: s}]
organisations:
  - {name: o1, keys: [k2, k1], rate: 10, burst: 20}
  - {name: o2, priority: 0}
`

// TestKeysAreDigested checks that a parsed manifest holds only digests, whose order does not
// depend on that of the keys.
func TestKeysAreDigested(t *testing.T) {
	c := qt.New(t)
	m, err := Parse([]byte(organisationManifest))
	c.Assert(err, qt.IsNil)
	swapped, err := Parse([]byte(strings.Replace(organisationManifest, "k2, k1", "k1, k2", 1)))
	c.Assert(err, qt.IsNil)
	c.Check(swapped, qt.DeepEquals, m)
	o := m.Organisations[0]
	c.Check(o.Keys, qt.HasLen, 0)
	c.Check(o.KeyDigests, qt.Contains, DigestKey("k1").String())
	c.Check(o.KeyDigests, qt.Contains, DigestKey("k2").String())
	c.Check(o.Priority, qt.Equals, RoutePriority)
	c.Check(m.Organisations[1].Priority, qt.Equals, 0)
}

// TestKeyDigestReadsBack checks that String and ParseKeyDigest are inverse.
func TestKeyDigestReadsBack(t *testing.T) {
	c := qt.New(t)
	digest, err := ParseKeyDigest(DigestKey("k").String())
	c.Assert(err, qt.IsNil)
	c.Check(digest, qt.Equals, DigestKey("k"))
	_, err = ParseKeyDigest("k")
	c.Check(err, qt.ErrorMatches, "want 64 hexadecimal digits, got 1 characters")
}
