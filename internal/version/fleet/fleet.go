// Package fleet holds the whole accepted intent of the fleet at one version:
// a sorted set of resources, each canonical bytes, with a hash over all of
// them. Deltas between two versions and snapshots of one are encoded here.
//
// A State is immutable: Accept, Take and Apply return a new one, which shares with the
// old what did not change, so that a change costs in proportion to itself.
package fleet

import (
	"encoding/binary"
	"maps"
	"strings"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Kind tells what a resource describes.
type Kind string

// The kinds of resources.
const (
	KindMesh    Kind = "mesh"
	KindRoute   Kind = "route"
	KindService Kind = "service"
)

// Key names one resource.
type Key struct {
	Mesh string `cbor:"1,keyasint"`
	Kind Kind   `cbor:"2,keyasint"`
	Name string `cbor:"3,keyasint,omitempty"`
}

// Compare orders keys.
func (k Key) Compare(o Key) int {
	if c := strings.Compare(k.Mesh, o.Mesh); c != 0 {
		return c
	}
	if c := strings.Compare(string(k.Kind), string(o.Kind)); c != 0 {
		return c
	}
	return strings.Compare(k.Name, o.Name)
}

// MeshHeader is the resource of KindMesh: what a mesh has besides its services
// and routes.
type MeshHeader struct {
	// Version is the operators' number.
	Version uint64 `cbor:"1,keyasint"`
	// Content is the hash of the manifest's canonical encoding.
	Content uint64 `cbor:"2,keyasint"`
	// Hosts are the host names of the mesh.
	Hosts []string `cbor:"3,keyasint,omitempty"`
	// Fleet is the fleet version that brought this manifest.
	Fleet uint64 `cbor:"4,keyasint"`
	// Limits bound what callers may send.
	Limits manifest.Limits `cbor:"5,keyasint,omitempty"`
}

// resources are the values by key, in order. The map is persistent: Set and Delete
// return another one that shares most of its nodes.
type resources = immutable.SortedMap[Key, []byte]

// keyOrder orders the keys of resources.
type keyOrder struct{}

// Compare implements immutable.Comparer.
func (keyOrder) Compare(a, b Key) int { return a.Compare(b) }

// State is the accepted intent at one fleet version.
type State struct {
	// Version is the fleet version: 0 is the empty state, each accepted manifest and each
	// step of a roll-out adds 1.
	Version   uint64
	resources *resources
	hash      uint64
	// sums are the parts of hash that are of each mesh's services and routes.
	sums map[string]uint64
}

var encMode = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Empty returns the state before the first accepted manifest.
func Empty() *State { return &State{resources: immutable.NewSortedMap[Key, []byte](keyOrder{})} }

// Hash identifies the content; equal states have equal hashes. It is the sum
// of the resources' hashes, so a delta updates it in proportion to its size.
func (s *State) Hash() uint64 { return s.hash }

// Len is the number of resources.
func (s *State) Len() int { return s.resources.Len() }

// Each calls visit for the resources of one mesh, in the order of their keys.
func (s *State) Each(mesh string, visit func(k Key, raw []byte)) { s.from(Key{Mesh: mesh}, visit) }

// EachOf is Each for the resources of one kind.
func (s *State) EachOf(mesh string, kind Kind, visit func(k Key, raw []byte)) {
	s.from(Key{Mesh: mesh, Kind: kind}, visit)
}

// from visits the keys of the mesh of k, and of its kind where that is given.
func (s *State) from(first Key, visit func(k Key, raw []byte)) {
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

// Mesh returns the header of a mesh and whether it is known.
func (s *State) Mesh(name string) (MeshHeader, bool) {
	var h MeshHeader
	raw, ok := s.resources.Get(Key{Mesh: name, Kind: KindMesh})
	if !ok {
		return h, false
	}
	return h, cbor.Unmarshal(raw, &h) == nil
}

// Meshes returns the names of all meshes in order.
func (s *State) Meshes() []string {
	var names []string
	it := s.resources.Iterator()
	for !it.Done() {
		k, _, _ := it.Next()
		if k.Kind == KindMesh {
			names = append(names, k.Mesh)
		}
		// The keys of the next mesh begin after the last possible one of this.
		it.Seek(Key{Mesh: k.Mesh + "\x00"})
	}
	return names
}

// Manifest rebuilds the manifest of one mesh.
func (s *State) Manifest(mesh string) (*manifest.Manifest, error) {
	header, ok := s.Mesh(mesh)
	if !ok {
		return nil, errors.Newf("no mesh %q", mesh)
	}
	m := &manifest.Manifest{Mesh: mesh, Version: header.Version, Hosts: header.Hosts, Limits: header.Limits}
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
	}
	return nil
}

// DecodeService reads a resource of KindService.
func DecodeService(raw []byte) (v manifest.Service, err error) { return v, cbor.Unmarshal(raw, &v) }

// DecodeRoute reads a resource of KindRoute.
func DecodeRoute(raw []byte) (v manifest.Route, err error) { return v, cbor.Unmarshal(raw, &v) }

// Route returns a route of a mesh, or nil where there is none or it can't be read.
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

// Accept returns the state after m became the intent of its mesh.
func (s *State) Accept(m *manifest.Manifest) (*State, error) {
	r, err := s.Revise(m)
	if err != nil {
		return nil, err
	}
	return s.Take(r)
}

// draft is a state that is being built and not handed out yet.
type draft struct {
	State
	// builder holds the resources instead where the draft began empty: it fills a map in
	// place, and makes no version of it for each resource.
	builder *immutable.SortedMapBuilder[Key, []byte]
}

// derive begins another version of s.
func (s *State) derive(version uint64) *draft {
	d := &draft{State: State{Version: version, resources: s.resources, hash: s.hash, sums: maps.Clone(s.sums)}}
	if s.Len() == 0 {
		d.builder = immutable.NewSortedMapBuilder[Key, []byte](keyOrder{})
	}
	if d.sums == nil {
		d.sums = map[string]uint64{}
	}
	return d
}

// finish returns the state; the draft must not be changed any more.
func (d *draft) finish() *State {
	if d.builder != nil {
		d.resources = d.builder.Map()
	}
	return &d.State
}

// set puts a value under a key, or removes the key where the value is empty.
func (d *draft) set(k Key, raw []byte) {
	old, known := d.get(k)
	if known {
		d.count(k, -resourceHash(k, old))
	}
	if len(raw) > 0 {
		d.count(k, resourceHash(k, raw))
	}
	switch {
	case len(raw) > 0 && d.builder != nil:
		d.builder.Set(k, raw)
	case len(raw) > 0:
		d.resources = d.resources.Set(k, raw)
	case known && d.builder != nil:
		d.builder.Delete(k)
	case known:
		d.resources = d.resources.Delete(k)
	}
}

func (d *draft) get(k Key) ([]byte, bool) {
	if d.builder != nil {
		return d.builder.Get(k)
	}
	return d.resources.Get(k)
}

// count adds to the sums of hashes.
func (d *draft) count(k Key, hash uint64) {
	d.hash += hash
	if k.Kind.ofManifest() {
		d.sums[k.Mesh] += hash
	}
}

// ContentHash hashes a manifest's canonical encoding.
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
