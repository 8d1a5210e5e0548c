package fleet

import (
	"testing"

	"github.com/daisygate/daisygate/internal/version/manifest"
)

// FuzzDelta looks for a packed delta that a daemon does not survive, or that leaves a
// state whose hash is not the one it announces.
func FuzzDelta(f *testing.F) {
	state, err := Empty().Accept(&manifest.Manifest{
		Mesh: "m", Version: 1, Services: []manifest.Service{{Name: "s"}},
		Routes: []manifest.Route{{Name: "r", Path: "/", Service: "s"}},
	})
	if err != nil {
		f.Fatal(err)
	}
	raw, err := state.Snapshot().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(Pack(raw))
	f.Add(append([]byte{packPlain}, raw...))
	f.Add([]byte{packZstd, 0x28, 0xb5, 0x2f, 0xfd})
	const limit = 1 << 20
	f.Fuzz(func(t *testing.T, packed []byte) {
		raw, err := Unpack(packed, limit)
		if err != nil {
			return
		}
		if len(raw) > limit {
			t.Fatalf("unpacked to %d bytes", len(raw))
		}
		delta, err := DecodeDelta(raw)
		if err != nil {
			return
		}
		for _, from := range []*State{Empty(), state} {
			next, err := from.Apply(delta)
			if err != nil {
				continue
			}
			if next.Hash() != delta.Hash || next.Version != delta.To {
				t.Fatalf("version %d, hash %x; announced %d, %x", next.Version, next.Hash(), delta.To, delta.Hash)
			}
			for _, mesh := range next.Meshes() {
				_, _ = next.Manifest(mesh)
			}
		}
	})
}
