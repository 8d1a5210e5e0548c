package fleet

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Revision is the difference between a manifest and the previous one of its mesh. It
// holds the complete header but only those services, routes and organisations that
// differ, so that its cost depends on the size of the change and not on that of the manifest.
type Revision struct {
	Mesh string `cbor:"1,keyasint"`
	// Version is the version number that the operators set in the manifest, Content the
	// hash of the manifest's canonical encoding.
	Version uint64          `cbor:"2,keyasint"`
	Content uint64          `cbor:"3,keyasint"`
	Hosts   []string        `cbor:"4,keyasint,omitempty"`
	Limits  manifest.Limits `cbor:"5,keyasint,omitempty"`
	// Base is the Content of the manifest that the revision applies to. 0 means none:
	// the revision then holds every service, route and organisation.
	Base uint64 `cbor:"6,keyasint,omitempty"`
	// Changes are changed services, routes and organisations, sorted by key.
	Changes []Change `cbor:"7,keyasint"`
	// Sum is the sum of the hashes of all services, routes and organisations of the new
	// manifest.
	Sum uint64 `cbor:"8,keyasint"`
	// LoadSharing is as in the manifest.
	LoadSharing string `cbor:"9,keyasint,omitempty"`
}

// ErrBase is returned by ApplyRevision for a revision of a manifest other than the current one.
var ErrBase = errors.New("revision does not apply to the current manifest")

// ErrForeignResource is returned by ApplyRevision for a revision with a resource that is not a
// service, route or organisation of its mesh.
var ErrForeignResource = errors.New("revision contains a resource that is not a service, route or organisation of its mesh")

// Revise returns the revision from the current manifest of the mesh to m.
func (s *State) Revise(m *manifest.Manifest) (*Revision, error) {
	content, err := ContentHash(m)
	if err != nil {
		return nil, err
	}
	wanted, err := encodeResources(m)
	if err != nil {
		return nil, err
	}
	header, known := s.Mesh(m.Mesh)
	if !known {
		s = Empty()
	}
	r := &Revision{
		Mesh: m.Mesh, Version: m.Version, Content: content, Hosts: m.Hosts, Limits: m.Limits, LoadSharing: m.LoadSharing,
		Base: header.Content, Sum: s.meshHashes[m.Mesh],
	}
	s.Each(m.Mesh, func(k Key, raw []byte) {
		value := wanted[k]
		delete(wanted, k)
		if k.Kind.isFromManifest() && string(value) != string(raw) {
			r.addChange(k, raw, value)
		}
	})
	for k, value := range wanted {
		r.addChange(k, nil, value)
	}
	slices.SortFunc(r.Changes, func(a, b Change) int { return a.Key.Compare(b.Key) })
	return r, nil
}

// HasOrganisations reports whether r adds, changes or removes an organisation.
func (r *Revision) HasOrganisations() bool {
	return slices.ContainsFunc(r.Changes, func(c Change) bool { return c.Key.Kind == KindOrganisation })
}

// FullRevision returns a revision to m without a base: it holds every service, route and
// organisation.
func FullRevision(m *manifest.Manifest) (*Revision, error) { return Empty().Revise(m) }

func (r *Revision) addChange(k Key, old, value []byte) {
	r.Changes = append(r.Changes, Change{Key: k, Value: value})
	if old != nil {
		r.Sum -= resourceHash(k, old)
	}
	if value != nil {
		r.Sum += resourceHash(k, value)
	}
}

// encodeResources encodes the services, routes and organisations of m.
func encodeResources(m *manifest.Manifest) (map[Key][]byte, error) {
	all := make(map[Key][]byte, len(m.Services)+len(m.Routes)+len(m.Organisations))
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
	for _, v := range m.Organisations {
		if len(v.Keys) > 0 {
			return nil, errors.Newf("organisation %s: API keys must be replaced with their digests", v.Name)
		}
		raw, err := encMode.Marshal(v)
		if err != nil {
			return nil, errors.Wrapf(err, "organisation %s", v.Name)
		}
		all[Key{Mesh: m.Mesh, Kind: KindOrganisation, Name: v.Name}] = raw
	}
	return all, nil
}

// ApplyRevision returns the state after applying r, or ErrBase, ErrForeignResource or ErrHash.
// It does not modify s.
func (s *State) ApplyRevision(r *Revision) (*State, error) {
	header, _ := s.Mesh(r.Mesh)
	if r.Base != 0 && r.Base != header.Content {
		return nil, errors.Wrapf(ErrBase, "base is %x, current manifest is %x", r.Base, header.Content)
	}
	next := s.builder(s.Version + 1)
	if r.Base == 0 {
		s.Each(r.Mesh, func(k Key, _ []byte) {
			if k.Kind.isFromManifest() {
				next.set(k, nil)
			}
		})
	}
	for _, c := range r.Changes {
		if c.Key.Mesh != r.Mesh || !c.Key.Kind.isFromManifest() {
			return nil, errors.Wrapf(ErrForeignResource, "%s/%s/%s", c.Key.Mesh, c.Key.Kind, c.Key.Name)
		}
		next.set(c.Key, c.Value)
	}
	if sum := next.meshHashes[r.Mesh]; sum != r.Sum {
		return nil, errors.Wrapf(ErrHash, "resources of version %d: got %x, want %x", r.Version, sum, r.Sum)
	}
	raw, err := encMode.Marshal(MeshHeader{Version: r.Version, Content: r.Content, Hosts: r.Hosts, FleetVersion: next.Version, Limits: r.Limits, LoadSharing: r.LoadSharing})
	if err != nil {
		return nil, errors.Wrap(err, "encode header")
	}
	next.set(Key{Mesh: r.Mesh, Kind: KindMesh}, raw)
	return next.build(), nil
}
