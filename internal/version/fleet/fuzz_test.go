package fleet

import (
	"testing"

	"github.com/daisygate/daisygate/internal/version/manifest"
)

// FuzzDelta checks that no packed delta causes a panic, exceeds the size limit, or
// produces a state whose hash or version differs from those in the delta.
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
	f.Add(append([]byte{encodingPlain}, raw...))
	f.Add([]byte{encodingZstd, 0x28, 0xb5, 0x2f, 0xfd})
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
				t.Fatalf("got version %d and hash %x, want %d and %x", next.Version, next.Hash(), delta.To, delta.Hash)
			}
			for _, mesh := range next.Meshes() {
				_, _ = next.Manifest(mesh)
			}
		}
	})
}
