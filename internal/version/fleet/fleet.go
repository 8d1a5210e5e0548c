// Package fleet holds the accepted configuration of the whole fleet at one
// version: a sorted set of resources in canonical encoding, with a hash over all
// of them. It also encodes the deltas between two versions and the snapshot of
// one.
//
// A State is immutable: Accept, ApplyRevision and Apply return a new State that shares
// unchanged data with the old one, so that the cost of a change is proportional to
// its size.
package fleet

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Kind is the type of a resource.
type Kind string

// The kinds of resources.
const (
	KindMesh         Kind = "mesh"
	KindOrganisation Kind = "organisation"
	KindRoute        Kind = "route"
	KindService      Kind = "service"
)

// Key identifies one resource.
type Key struct {
	Mesh string `cbor:"1,keyasint"`
	Kind Kind   `cbor:"2,keyasint"`
	Name string `cbor:"3,keyasint,omitempty"`
}

// Compare orders keys by mesh, kind and name.
func (k Key) Compare(o Key) int {
	if c := strings.Compare(k.Mesh, o.Mesh); c != 0 {
		return c
	}
	if c := strings.Compare(string(k.Kind), string(o.Kind)); c != 0 {
		return c
	}
	return strings.Compare(k.Name, o.Name)
}

// MeshHeader is the resource of KindMesh: the configuration of a mesh except its
// services, routes and organisations.
type MeshHeader struct {
	// Version is the version number that the operators set in the manifest.
	Version uint64 `cbor:"1,keyasint"`
	// Content is the hash of the manifest's canonical encoding.
	Content uint64 `cbor:"2,keyasint"`
	// Hosts are the host names of the mesh.
	Hosts []string `cbor:"3,keyasint,omitempty"`
	// FleetVersion is the fleet version in which this manifest was accepted.
	FleetVersion uint64 `cbor:"4,keyasint"`
	// Limits restrict what callers may send.
	Limits manifest.Limits `cbor:"5,keyasint,omitempty"`
	// LoadSharing is as in the manifest.
	LoadSharing string `cbor:"6,keyasint,omitempty"`
}

// resources maps keys to encoded values, sorted by key. The map is persistent: Set
// and Delete return a new map that shares most of its nodes with the old one.
type resources = immutable.SortedMap[Key, []byte]

type keyComparer struct{}

// Compare implements immutable.Comparer.
func (keyComparer) Compare(a, b Key) int { return a.Compare(b) }

// State is the accepted configuration at one fleet version.
type State struct {
	// Version is the fleet version: 0 for the empty state; each accepted manifest and
	// each step of a rollout adds 1.
	Version   uint64
	resources *resources
	hash      uint64
	// meshHashes maps each mesh to the sum of the hashes of its resources that come from
	// the lists of its manifest.
	meshHashes map[string]uint64
}

var encMode = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Empty returns the state before the first accepted manifest.
func Empty() *State { return &State{resources: immutable.NewSortedMap[Key, []byte](keyComparer{})} }

// Hash identifies the content; equal states have equal hashes. It is the sum
// of the resources' hashes, so the cost of updating it is proportional to the size
// of a delta.
func (s *State) Hash() uint64 { return s.hash }

// Len returns the number of resources.
func (s *State) Len() int { return s.resources.Len() }

// Each calls visit for each resource of one mesh, in key order.
func (s *State) Each(mesh string, visit func(k Key, raw []byte)) { s.visitFrom(Key{Mesh: mesh}, visit) }

// EachOf calls visit for each resource of one kind in one mesh, in key order.
func (s *State) EachOf(mesh string, kind Kind, visit func(k Key, raw []byte)) {
	s.visitFrom(Key{Mesh: mesh, Kind: kind}, visit)
}

// visitFrom visits the resources with the mesh of first and, if it is set, the kind
// of first.
func (s *State) visitFrom(first Key, visit func(k Key, raw []byte)) {
	it := s.resources.Iterator()
	it.Seek(first)
	for !it.Done() {
		k, raw, _ := it.Next()
		if k.Mesh != first.Mesh || (first.Kind != "" && k.Kind != first.Kind) {
			return
		}
		visit(k, raw)
	}
}

// Mesh returns the header of a mesh and whether it exists and can be decoded.
func (s *State) Mesh(name string) (MeshHeader, bool) {
	var h MeshHeader
	raw, ok := s.resources.Get(Key{Mesh: name, Kind: KindMesh})
	if !ok {
		return h, false
	}
	return h, cbor.Unmarshal(raw, &h) == nil
}

// Meshes returns the names of all meshes, sorted.
func (s *State) Meshes() []string {
	var names []string
	it := s.resources.Iterator()
	for !it.Done() {
		k, _, _ := it.Next()
		if k.Kind == KindMesh {
			names = append(names, k.Mesh)
		}
		// Skip to the keys of the next mesh.
		it.Seek(Key{Mesh: k.Mesh + "\x00"})
	}
	return names
}

// Manifest rebuilds the manifest of one mesh from its resources.
func (s *State) Manifest(mesh string) (*manifest.Manifest, error) {
	header, ok := s.Mesh(mesh)
	if !ok {
		return nil, errors.Newf("no mesh %q", mesh)
	}
	m := &manifest.Manifest{Mesh: mesh, Version: header.Version, Hosts: header.Hosts, Limits: header.Limits, LoadSharing: header.LoadSharing}
	var failed error
	s.Each(mesh, func(k Key, raw []byte) {
		if err := decodeInto(m, k, raw); err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "resource %s/%s/%s", k.Mesh, k.Kind, k.Name))
		}
	})
	if failed != nil {
		return nil, failed
	}
	return m, nil
}

func decodeInto(m *manifest.Manifest, k Key, raw []byte) error {
	switch k.Kind {
	case KindService:
		v, err := DecodeService(raw)
		m.Services = append(m.Services, v)
		return err
	case KindRoute:
		v, err := DecodeRoute(raw)
		m.Routes = append(m.Routes, v)
		return err
	case KindOrganisation:
		v, err := DecodeOrganisation(raw)
		m.Organisations = append(m.Organisations, v)
		return err
	}
	return nil
}

// DecodeService decodes a resource of KindService.
func DecodeService(raw []byte) (v manifest.Service, err error) { return v, cbor.Unmarshal(raw, &v) }

// DecodeRoute decodes a resource of KindRoute.
func DecodeRoute(raw []byte) (v manifest.Route, err error) { return v, cbor.Unmarshal(raw, &v) }

// DecodeOrganisation decodes a resource of KindOrganisation.
func DecodeOrganisation(raw []byte) (v manifest.Organisation, err error) {
	return v, cbor.Unmarshal(raw, &v)
}

// HasOrganisations reports whether any mesh has organisations.
func (s *State) HasOrganisations() bool {
	return slices.ContainsFunc(s.Meshes(), func(mesh string) bool {
		found := false
		s.EachOf(mesh, KindOrganisation, func(Key, []byte) { found = true })
		return found
	})
}

// Route returns a route of a mesh, or nil if it does not exist or cannot be
// decoded.
func (s *State) Route(mesh, name string) *manifest.Route {
	raw, ok := s.resources.Get(Key{Mesh: mesh, Kind: KindRoute, Name: name})
	if !ok {
		return nil
	}
	v, err := DecodeRoute(raw)
	if err != nil {
		return nil
	}
	return &v
}

// Accept returns the state in which m is the manifest of its mesh.
func (s *State) Accept(m *manifest.Manifest) (*State, error) {
	r, err := s.Revise(m)
	if err != nil {
		return nil, err
	}
	return s.ApplyRevision(r)
}

// stateBuilder builds a new State.
type stateBuilder struct {
	State
	// mapBuilder replaces resources while a state is built from empty. It fills a map
	// in place instead of creating a new version of it for each resource.
	mapBuilder *immutable.SortedMapBuilder[Key, []byte]
}

// builder returns a builder for a new version that starts with the content of s.
func (s *State) builder(version uint64) *stateBuilder {
	b := &stateBuilder{State: State{Version: version, resources: s.resources, hash: s.hash, meshHashes: maps.Clone(s.meshHashes)}}
	if s.Len() == 0 {
		b.mapBuilder = immutable.NewSortedMapBuilder[Key, []byte](keyComparer{})
	}
	if b.meshHashes == nil {
		b.meshHashes = map[string]uint64{}
	}
	return b
}

// build returns the state. The builder must not be used afterwards.
func (b *stateBuilder) build() *State {
	if b.mapBuilder != nil {
		b.resources = b.mapBuilder.Map()
	}
	return &b.State
}

// set sets the value of a key, or deletes the key if the value is empty.
func (b *stateBuilder) set(k Key, raw []byte) {
	old, exists := b.get(k)
	if exists {
		b.addHash(k, -resourceHash(k, old))
	}
	if len(raw) > 0 {
		b.addHash(k, resourceHash(k, raw))
	}
	switch {
	case len(raw) > 0 && b.mapBuilder != nil:
		b.mapBuilder.Set(k, raw)
	case len(raw) > 0:
		b.resources = b.resources.Set(k, raw)
	case exists && b.mapBuilder != nil:
		b.mapBuilder.Delete(k)
	case exists:
		b.resources = b.resources.Delete(k)
	}
}

func (b *stateBuilder) get(k Key) ([]byte, bool) {
	if b.mapBuilder != nil {
		return b.mapBuilder.Get(k)
	}
	return b.resources.Get(k)
}

// addHash adds the hash of a resource to the hash of the state and, if the resource comes
// from a manifest, to that of the mesh.
func (b *stateBuilder) addHash(k Key, hash uint64) {
	b.hash += hash
	if k.Kind.isFromManifest() {
		b.meshHashes[k.Mesh] += hash
	}
}

// ContentHash returns the hash of a manifest's canonical encoding.
func ContentHash(m *manifest.Manifest) (uint64, error) {
	raw, err := encMode.Marshal(m)
	if err != nil {
		return 0, errors.Wrap(err, "encode manifest")
	}
	return xxhash.Sum64(raw), nil
}

func resourceHash(k Key, raw []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{k.Mesh, string(k.Kind), k.Name} {
		var n [4]byte
		binary.LittleEndian.PutUint32(n[:], uint32(len(part)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(raw)
	return d.Sum64()
}
