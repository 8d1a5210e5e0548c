package fleet

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Revision is what one manifest changes of the one before it in its mesh. It holds the
// header whole, and of services and routes only those that differ, so that a change costs
// what it changes, however large the manifest is.
type Revision struct {
	Mesh string `cbor:"1,keyasint"`
	// Version is the operators' number, Content the hash of the manifest's canonical
	// encoding.
	Version uint64          `cbor:"2,keyasint"`
	Content uint64          `cbor:"3,keyasint"`
	Hosts   []string        `cbor:"4,keyasint,omitempty"`
	Limits  manifest.Limits `cbor:"5,keyasint,omitempty"`
	// Base is the Content of the manifest that is changed. 0 is none: the revision then
	// holds every service and route.
	Base uint64 `cbor:"6,keyasint,omitempty"`
	// Changes are services and routes, in the order of their keys.
	Changes []Change `cbor:"7,keyasint"`
	// Sum is the sum of the hashes of all services and routes of the result.
	Sum uint64 `cbor:"8,keyasint"`
}

// ErrBase is returned by Take for a revision of another manifest than the present one.
var ErrBase = errors.New("revision of another manifest")

// ErrForeign is returned by Take for a revision that names a resource which is no service
// or route of its mesh.
var ErrForeign = errors.New("revision names a resource of something else")

// Revise returns what m changes of the newest manifest of its mesh.
func (s *State) Revise(m *manifest.Manifest) (*Revision, error) {
	content, err := ContentHash(m)
	if err != nil {
		return nil, err
	}
	wanted, err := resourcesOf(m)
	if err != nil {
		return nil, err
	}
	header, known := s.Mesh(m.Mesh)
	if !known {
		s = Empty()
	}
	r := &Revision{
		Mesh: m.Mesh, Version: m.Version, Content: content, Hosts: m.Hosts, Limits: m.Limits,
		Base: header.Content, Sum: s.sums[m.Mesh],
	}
	s.Each(m.Mesh, func(k Key, raw []byte) {
		value := wanted[k]
		delete(wanted, k)
		if k.Kind.ofManifest() && string(value) != string(raw) {
			r.change(k, raw, value)
		}
	})
	for k, value := range wanted {
		r.change(k, nil, value)
	}
	slices.SortFunc(r.Changes, func(a, b Change) int { return a.Key.Compare(b.Key) })
	return r, nil
}

// Whole returns a revision that does not build on any manifest.
func Whole(m *manifest.Manifest) (*Revision, error) { return Empty().Revise(m) }

func (r *Revision) change(k Key, old, value []byte) {
	r.Changes = append(r.Changes, Change{Key: k, Value: value})
	if old != nil {
		r.Sum -= resourceHash(k, old)
	}
	if value != nil {
		r.Sum += resourceHash(k, value)
	}
}

// resourcesOf encodes the services and routes of m.
func resourcesOf(m *manifest.Manifest) (map[Key][]byte, error) {
	all := make(map[Key][]byte, len(m.Services)+len(m.Routes))
	for _, v := range m.Services {
		raw, err := encMode.Marshal(v)
		if err != nil {
			return nil, errors.Wrapf(err, "service %s", v.Name)
		}
		all[Key{Mesh: m.Mesh, Kind: KindService, Name: v.Name}] = raw
	}
	for _, v := range m.Routes {
		raw, err := encMode.Marshal(v)
		if err != nil {
			return nil, errors.Wrapf(err, "route %s", v.Name)
		}
		all[Key{Mesh: m.Mesh, Kind: KindRoute, Name: v.Name}] = raw
	}
	return all, nil
}

// Take returns the state after r, or ErrBase, ErrForeign or ErrHash; s stays as it is.
func (s *State) Take(r *Revision) (*State, error) {
	header, _ := s.Mesh(r.Mesh)
	if r.Base != 0 && r.Base != header.Content {
		return nil, errors.Wrapf(ErrBase, "of %x, here is %x", r.Base, header.Content)
	}
	next := s.derive(s.Version + 1)
	if r.Base == 0 {
		s.Each(r.Mesh, func(k Key, _ []byte) {
			if k.Kind.ofManifest() {
				next.set(k, nil)
			}
		})
	}
	for _, c := range r.Changes {
		if c.Key.Mesh != r.Mesh || !c.Key.Kind.ofManifest() {
			return nil, errors.Wrapf(ErrForeign, "%s/%s/%s", c.Key.Mesh, c.Key.Kind, c.Key.Name)
		}
		next.set(c.Key, c.Value)
	}
	if sum := next.sums[r.Mesh]; sum != r.Sum {
		return nil, errors.Wrapf(ErrHash, "services and routes of version %d: %x, announced %x", r.Version, sum, r.Sum)
	}
	raw, err := encMode.Marshal(MeshHeader{Version: r.Version, Content: r.Content, Hosts: r.Hosts, Fleet: next.Version, Limits: r.Limits})
	if err != nil {
		return nil, errors.Wrap(err, "encode header")
	}
	next.set(Key{Mesh: r.Mesh, Kind: KindMesh}, raw)
	return next.finish(), nil
}
