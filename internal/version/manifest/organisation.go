package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/strictyaml"
)

// The limits of organisations and their API keys.
const (
	MaxOrganisations = 10000
	// MaxKeys is the maximum number of API keys of one organisation.
	MaxKeys     = 64
	MaxKeyBytes = 256
	MaxRate     = 10000000
)

// RoutePriority is the Priority of an Organisation whose requests have the priority of
// their route.
const RoutePriority = -1

// Organisation is a group of callers that authenticate with the same API keys.
type Organisation struct {
	Name string `yaml:"name" cbor:"1,keyasint"`
	// Keys are API keys in plain text. Parse replaces them with their digests, so that
	// keys are neither stored nor sent to other daemons.
	Keys []string `yaml:"keys" cbor:"6,keyasint,omitempty"`
	// KeyDigests are the digests of the API keys, as returned by DigestKey.
	KeyDigests []string `yaml:"key_digests" cbor:"2,keyasint,omitempty"`
	// Priority replaces the priority of the route. Default RoutePriority.
	Priority int `yaml:"priority" cbor:"3,keyasint"`
	// Rate and Burst limit the requests of the organisation at all daemons together: Rate
	// requests per second, and up to Burst more within each window of the settings. With a
	// Rate of 0, the default, there is no limit.
	Rate  int `yaml:"rate" cbor:"4,keyasint,omitempty"`
	Burst int `yaml:"burst" cbor:"5,keyasint,omitempty"`
}

// SetDefaults implements strictyaml.Defaulter.
func (o *Organisation) SetDefaults() { *o = Organisation{Priority: RoutePriority} }

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key. Keys are random, so that a digest without
// salt reveals nothing about them.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the digest in hexadecimal.
func (k KeyDigest) String() string { return hex.EncodeToString(k[:]) }

// ParseKeyDigest reverses KeyDigest.String.
func ParseKeyDigest(text string) (KeyDigest, error) {
	var digest KeyDigest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(digest) {
		return digest, errors.Newf("want %d hexadecimal digits, got %d characters", 2*len(digest), len(text))
	}
	return KeyDigest(raw), nil
}

// digestKeys replaces the API keys of all organisations with their digests. The digests
// are sorted, so that the order of keys does not change the content of the manifest.
func (m *Manifest) digestKeys() {
	for i := range m.Organisations {
		o := &m.Organisations[i]
		for _, key := range o.Keys {
			o.KeyDigests = append(o.KeyDigests, DigestKey(key).String())
		}
		o.Keys = nil
		slices.Sort(o.KeyDigests)
	}
}

func (m *Manifest) checkOrganisations(d *strictyaml.Document) {
	d.Count("organisations", len(m.Organisations), MaxOrganisations)
	var names strictyaml.Unique
	owners := keyOwners{}
	for i := range m.Organisations {
		key := fmt.Sprintf("organisations[%d]", i)
		o := &m.Organisations[i]
		names.Check(d, key+".name", o.Name)
		o.check(d, key)
		owners.check(d, key, o)
	}
}

func (o *Organisation) check(d *strictyaml.Document, key string) {
	d.Name(key+".name", o.Name)
	d.Count(key+".keys", len(o.Keys)+len(o.KeyDigests), MaxKeys)
	strictyaml.Range(d, key+".priority", o.Priority, RoutePriority, LowestPriority)
	strictyaml.Range(d, key+".rate", o.Rate, 0, MaxRate)
	strictyaml.Range(d, key+".burst", o.Burst, 0, MaxRate)
	if o.Rate == 0 && o.Burst > 0 {
		d.Add(key+".burst", "has no effect without rate")
	}
}

// keyOwners maps the digests of API keys to the places where they occur.
type keyOwners map[KeyDigest]string

// check checks the API keys of an organisation. Its messages never contain a key.
func (owners keyOwners) check(d *strictyaml.Document, key string, o *Organisation) {
	for i, apiKey := range o.Keys {
		itemKey := fmt.Sprintf("%s.keys[%d]", key, i)
		switch {
		case !d.Required(itemKey, apiKey):
		case len(apiKey) > MaxKeyBytes:
			d.Add(itemKey, "has %d bytes, want at most %d", len(apiKey), MaxKeyBytes)
		case strings.ContainsFunc(apiKey, isNotKeyCharacter):
			d.Add(itemKey, "want printable ASCII characters other than space and comma")
		default:
			owners.add(d, itemKey, DigestKey(apiKey))
		}
	}
	for i, text := range o.KeyDigests {
		itemKey := fmt.Sprintf("%s.key_digests[%d]", key, i)
		digest, err := ParseKeyDigest(text)
		if err != nil {
			d.Add(itemKey, "%v", err)
			continue
		}
		owners.add(d, itemKey, digest)
	}
}

func (owners keyOwners) add(d *strictyaml.Document, key string, digest KeyDigest) {
	if first, seen := owners[digest]; seen {
		d.Add(key, "is the same API key as %s%s", first, d.LineSuffix(first))
		return
	}
	owners[digest] = key
}

func isNotKeyCharacter(r rune) bool { return r <= ' ' || r > '~' || r == ',' }
