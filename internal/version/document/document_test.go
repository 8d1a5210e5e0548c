package document

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// configuration returns a text that resembles a manifest with the given number of
// routes.
func configuration(version, routes int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":"r%d","routes":[`, version)
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"route-%d","path_prefix":"/p%d/","kind":"safe","timeout_ms":600,"service":"s%d"},`, i, i*7919, i%40)
	}
	b.WriteString(`{}]}`)
	return []byte(b.String())
}

// TestPatchesFollowEachOther applies a sequence of random changes as encoded patches and
// compares the document with the new text after each of them.
func TestPatchesFollowEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := configuration(1, rapid.IntRange(0, 30).Draw(t, "routes"))
		doc := New(bytes.Clone(text))
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			text = mutate(t, text)
			patch, err := Diff(doc, text)
			if err != nil {
				t.Fatal(err)
			}
			raw, err := cbor.Marshal(patch)
			if err != nil {
				t.Fatal(err)
			}
			patch = Patch{}
			if err = cbor.Unmarshal(raw, &patch); err != nil {
				t.Fatal(err)
			}
			if doc, err = doc.Apply(patch); err != nil {
				t.Fatal(err)
			}
			got, err := doc.Bytes()
			if err != nil || !bytes.Equal(got, text) {
				t.Fatalf("%v: want %q, got %q", err, text, got)
			}
			if len(doc.pieces) > maxPieces {
				t.Fatalf("%d pieces", len(doc.pieces))
			}
		}
	})
}

// mutate removes a random range and inserts it, or random bytes, at a random offset.
func mutate(t *rapid.T, text []byte) []byte {
	start := rapid.IntRange(0, len(text)).Draw(t, "from")
	end := rapid.IntRange(start, min(len(text), start+300)).Draw(t, "to")
	rest := append(bytes.Clone(text[:start]), text[end:]...)
	at := rapid.IntRange(0, len(rest)).Draw(t, "at")
	inserted := text[start:end]
	if rapid.Bool().Draw(t, "new") {
		inserted = rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "bytes")
	}
	return append(append(bytes.Clone(rest[:at]), inserted...), rest[at:]...)
}

// TestSmallChangeMakesSmallPatch checks the patch size for a new version number in a
// text of 4,000 routes: less than 400 bytes if one route changes as well, less than 12 kB
// if 40 scattered routes change.
func TestSmallChangeMakesSmallPatch(t *testing.T) {
	c := qt.New(t)
	text := configuration(1, 4000)
	for changed, maxBytes := range map[int]int{1: 400, 40: 12000} {
		next := configuration(2, 4000)
		for i := range changed {
			next = bytes.Replace(next, fmt.Appendf(nil, `/p%d/`, i*99*7919), fmt.Appendf(nil, `/other%d/`, i), 1)
		}
		patch, err := Diff(New(text), next)
		c.Assert(err, qt.IsNil)
		raw, err := cbor.Marshal(patch)
		c.Assert(err, qt.IsNil)
		c.Check(len(raw) < maxBytes, qt.IsTrue, qt.Commentf("%d bytes for %d routes", len(raw), changed))
	}
}

// TestPatchOfAnotherTextIsRefused checks that Apply rejects a patch to a different text
// and a corrupt patch, and that Bytes detects a wrong hash.
func TestPatchOfAnotherTextIsRefused(t *testing.T) {
	c := qt.New(t)
	text := configuration(1, 20)
	patch, err := Diff(New(text), configuration(2, 20))
	c.Assert(err, qt.IsNil)
	_, err = New(configuration(3, 20)).Apply(patch)
	c.Check(err, qt.ErrorIs, ErrBase)
	_, err = Document{}.Apply(patch)
	c.Check(err, qt.ErrorIs, ErrBase)
	for _, corrupt := range []func(p *Patch){
		func(p *Patch) { p.Size++ },
		func(p *Patch) { p.Ops = p.Ops[1:] },
		func(p *Patch) { p.Ops = append([]Op{{From: len(text), Len: 1}}, p.Ops...) },
		func(p *Patch) { p.Ops = append([]Op{{From: -1, Len: 1}}, p.Ops...) },
		func(p *Patch) { p.Ops = append([]Op{{From: 1, Len: int(^uint(0) >> 1)}}, p.Ops...) },
	} {
		bad := patch
		bad.Ops = append([]Op(nil), patch.Ops...)
		corrupt(&bad)
		_, err = New(text).Apply(bad)
		c.Check(err, qt.ErrorIs, ErrPatch)
	}
	patch.Sum++
	doc, err := New(text).Apply(patch)
	c.Assert(err, qt.IsNil)
	_, err = doc.Bytes()
	c.Check(err, qt.ErrorIs, ErrSum)
}

// FuzzPatch checks that no patch causes a panic or produces a document whose size differs
// from the size in the patch.
func FuzzPatch(f *testing.F) {
	text := configuration(1, 5)
	patch, err := Diff(New(text), configuration(12, 6))
	if err != nil {
		f.Fatal(err)
	}
	raw, err := cbor.Marshal(patch)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var patch Patch
		if cbor.Unmarshal(raw, &patch) != nil {
			return
		}
		doc, err := New(text).Apply(patch)
		if err != nil {
			return
		}
		if got, err := doc.Bytes(); err == nil && (len(got) != patch.Size || doc.Len() != patch.Size) {
			t.Fatalf("got %d bytes, want %d", len(got), patch.Size)
		}
	})
}

// BenchmarkApply applies patches that change the version number, for several text sizes.
func BenchmarkApply(b *testing.B) {
	for _, routes := range []int{400, 4000, 16000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			const changes = 100
			docs := []Document{New(configuration(1, routes))}
			patches := make([]Patch, changes)
			for i := range patches {
				var err error
				if patches[i], err = Diff(docs[i], configuration(i+2, routes)); err != nil {
					b.Fatal(err)
				}
				next, err := docs[i].Apply(patches[i])
				if err != nil {
					b.Fatal(err)
				}
				docs = append(docs, next)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if _, err := docs[i%changes].Apply(patches[i%changes]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
