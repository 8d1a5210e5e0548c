// Package fleet holds the whole accepted intent of the fleet at one version:
// a sorted set of resources, each canonical bytes, with a hash over all of
// them. Deltas between two versions and snapshots of one are encoded here.
//
// A State is immutable: Accept and Apply return a new one.
package fleet

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

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

// State is the accepted intent at one fleet version.
type State struct {
	// Version is the fleet version: 0 is the empty state, each accepted
	// manifest adds 1.
	Version   uint64
	resources map[Key][]byte
	hash      uint64
}

var encMode = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Empty returns the state before the first accepted manifest.
func Empty() *State { return &State{resources: map[Key][]byte{}} }

// Hash identifies the content; equal states have equal hashes. It is the sum
// of the resources' hashes, so a delta updates it in proportion to its size.
func (s *State) Hash() uint64 { return s.hash }

// Len is the number of resources.
func (s *State) Len() int { return len(s.resources) }

// Keys returns all keys in order.
func (s *State) Keys() []Key {
	return slices.SortedFunc(maps.Keys(s.resources), Key.Compare)
}

// keysOf returns the keys of one mesh in order.
func (s *State) keysOf(mesh string) []Key {
	var keys []Key
	for k := range s.resources {
		if k.Mesh == mesh {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, Key.Compare)
	return keys
}

// Mesh returns the header of a mesh and whether it is known.
func (s *State) Mesh(name string) (MeshHeader, bool) {
	var h MeshHeader
	raw, ok := s.resources[Key{Mesh: name, Kind: KindMesh}]
	if !ok {
		return h, false
	}
	return h, cbor.Unmarshal(raw, &h) == nil
}

// Meshes returns the names of all meshes in order.
func (s *State) Meshes() []string {
	var names []string
	for k := range s.resources {
		if k.Kind == KindMesh {
			names = append(names, k.Mesh)
		}
	}
	slices.Sort(names)
	return names
}

// Manifest rebuilds the manifest of one mesh.
func (s *State) Manifest(mesh string) (*manifest.Manifest, error) {
	header, ok := s.Mesh(mesh)
	if !ok {
		return nil, errors.Newf("no mesh %q", mesh)
	}
	m := &manifest.Manifest{Mesh: mesh, Version: header.Version, Hosts: header.Hosts, Limits: header.Limits}
	for _, k := range s.keysOf(mesh) {
		if err := s.decodeInto(m, k); err != nil {
			return nil, errors.Wrapf(err, "resource %s/%s/%s", k.Mesh, k.Kind, k.Name)
		}
	}
	return m, nil
}

func (s *State) decodeInto(m *manifest.Manifest, k Key) error {
	switch k.Kind {
	case KindService:
		var v manifest.Service
		if err := cbor.Unmarshal(s.resources[k], &v); err != nil {
			return err
		}
		m.Services = append(m.Services, v)
	case KindRoute:
		var v manifest.Route
		if err := cbor.Unmarshal(s.resources[k], &v); err != nil {
			return err
		}
		m.Routes = append(m.Routes, v)
	}
	return nil
}

// Accept returns the state after m became the intent of its mesh.
func (s *State) Accept(m *manifest.Manifest) (*State, error) {
	next := &State{Version: s.Version + 1, resources: map[Key][]byte{}, hash: s.hash}
	for k, v := range s.resources {
		if k.Mesh != m.Mesh {
			next.resources[k] = v
			continue
		}
		next.hash -= resourceHash(k, v)
	}
	put := func(kind Kind, name string, v any) error {
		raw, err := encMode.Marshal(v)
		if err != nil {
			return err
		}
		next.set(Key{Mesh: m.Mesh, Kind: kind, Name: name}, raw)
		return nil
	}
	content, err := ContentHash(m)
	if err != nil {
		return nil, err
	}
	header := MeshHeader{Version: m.Version, Content: content, Hosts: m.Hosts, Fleet: next.Version, Limits: m.Limits}
	if err := put(KindMesh, "", header); err != nil {
		return nil, err
	}
	for _, v := range m.Services {
		if err := put(KindService, v.Name, v); err != nil {
			return nil, err
		}
	}
	for _, v := range m.Routes {
		if err := put(KindRoute, v.Name, v); err != nil {
			return nil, err
		}
	}
	return next, nil
}

func (s *State) set(k Key, raw []byte) {
	s.resources[k] = raw
	s.hash += resourceHash(k, raw)
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
