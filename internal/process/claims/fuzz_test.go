package claims

import (
	"testing"

	"github.com/daisygate/daisygate/internal/request/once"
)

// FuzzRestore looks for an image of the table that a source does not survive. One that is
// refused leaves what was there.
func FuzzRestore(f *testing.F) {
	built := func() *Table {
		t := New(DefaultLimits())
		id := once.ID{}
		id[0] = 1
		t.Do(&Command{Kind: KindClaim, ID: id, Fingerprint: 5, Token: once.Token{Node: "a", Incarnation: 2, Seq: 3}, Now: 1})
		t.Do(&Command{Kind: KindAnswer, ID: id, Token: once.Token{Node: "a", Incarnation: 2, Seq: 3}, Answer: &once.Answer{Status: 200}, Now: 2})
		return t
	}
	raw, err := built().Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		table := built()
		held := len(table.claims)
		if table.Restore(raw) != nil {
			if len(table.claims) != held {
				t.Fatal("a refused image changed the table")
			}
			return
		}
		if _, err := table.Snapshot(); err != nil {
			t.Fatal(err)
		}
		_, _ = table.Apply(1, 1, raw)
	})
}
