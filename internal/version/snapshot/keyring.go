package snapshot

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Organisation is a compiled organisation.
type Organisation struct {
	manifest.Organisation
	// Weight is the share of the servers that the organisation is entitled to while they are full,
	// relative to the others of its mesh: its rate, or the mean rate if it has none.
	Weight float64
	// raw is the encoded resource that the organisation was compiled from.
	raw []byte
}

// PriorityOn returns the priority of the organisation's requests on a route.
func (o *Organisation) PriorityOn(r *Route) int {
	if o == nil || o.Priority == manifest.RoutePriority {
		return r.Priority
	}
	return o.Priority
}

// keyring holds the organisations of one mesh. It is immutable once compiled and shared
// between versions.
type keyring struct {
	organisations map[string]*Organisation
	byDigest      map[manifest.KeyDigest]*Organisation
	// limited is set if any organisation has a limit.
	limited bool
}

func newKeyring() *keyring {
	return &keyring{organisations: map[string]*Organisation{}, byDigest: map[manifest.KeyDigest]*Organisation{}}
}

// compileKeyring returns old if no organisation of the mesh has changed.
func compileKeyring(old *keyring, state *fleet.State, mesh string) (*keyring, error) {
	if old.matches(state, mesh) {
		return old, nil
	}
	k := newKeyring()
	var failed error
	state.EachOf(mesh, fleet.KindOrganisation, func(key fleet.Key, raw []byte) {
		v, err := fleet.DecodeOrganisation(raw)
		if err == nil {
			err = k.add(v, raw)
		}
		if err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "organisation %s", key.Name))
		}
	})
	k.setWeights()
	return k, failed
}

// setWeights sets the weights of all organisations, which are 1 if none has a rate.
func (k *keyring) setWeights() {
	sum, count := 0, 0
	for _, o := range k.organisations {
		if o.Rate > 0 {
			sum += o.Rate
			count++
		}
	}
	for _, o := range k.organisations {
		switch {
		case o.Rate > 0:
			o.Weight = float64(o.Rate)
		case count > 0:
			o.Weight = float64(sum) / float64(count)
		default:
			o.Weight = 1
		}
	}
}

// matches reports whether k was compiled from exactly the organisations of a mesh.
func (k *keyring) matches(state *fleet.State, mesh string) bool {
	count, same := 0, true
	state.EachOf(mesh, fleet.KindOrganisation, func(key fleet.Key, raw []byte) {
		count++
		o := k.organisations[key.Name]
		same = same && o != nil && bytes.Equal(o.raw, raw)
	})
	return same && count == len(k.organisations)
}

func (k *keyring) add(v manifest.Organisation, raw []byte) error {
	o := &Organisation{Organisation: v, raw: raw}
	for _, text := range v.KeyDigests {
		digest, err := manifest.ParseKeyDigest(text)
		if err != nil {
			return err
		}
		if other := k.byDigest[digest]; other != nil {
			return errors.Newf("has an API key of organisation %s", other.Name)
		}
		k.byDigest[digest] = o
	}
	k.organisations[v.Name] = o
	k.limited = k.limited || v.Rate > 0
	return nil
}

// HasOrganisations reports whether a mesh has organisations, so that its requests need an
// API key.
func (s *Snapshot) HasOrganisations(mesh string) bool {
	c := s.meshes[mesh]
	return c != nil && len(c.keyring.organisations) > 0
}

// HasLimits reports whether any organisation of any mesh has a limit.
func (s *Snapshot) HasLimits() bool {
	for _, c := range s.meshes {
		if c.keyring.limited {
			return true
		}
	}
	return false
}

// OrganisationByKey returns the organisation of a mesh that holds an API key, or nil; nobody holds
// the empty key. The lookup compares digests, so that its duration reveals nothing about the keys.
func (s *Snapshot) OrganisationByKey(mesh, apiKey string) *Organisation {
	c := s.meshes[mesh]
	if c == nil || apiKey == "" {
		return nil
	}
	return c.keyring.byDigest[manifest.DigestKey(apiKey)]
}

// Organisation returns an organisation of a mesh by its name, or nil.
func (s *Snapshot) Organisation(mesh, name string) *Organisation {
	c := s.meshes[mesh]
	if c == nil {
		return nil
	}
	return c.keyring.organisations[name]
}
