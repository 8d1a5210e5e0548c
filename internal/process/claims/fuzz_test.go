package claims

import (
	"testing"

	"github.com/daisygate/daisygate/internal/request/idempotency"
)

// FuzzRestore guards against snapshots that crash a source. A snapshot that is
// rejected must leave the table unchanged.
func FuzzRestore(f *testing.F) {
	filledTable := func() *Table {
		t := New(DefaultLimits())
		id := idempotency.ID{}
		id[0] = 1
		t.Execute(&Command{Kind: KindClaim, ID: id, Fingerprint: 5, Token: idempotency.Token{Node: "a", Incarnation: 2, Seq: 3}, Now: 1})
		t.Execute(&Command{Kind: KindAnswer, ID: id, Token: idempotency.Token{Node: "a", Incarnation: 2, Seq: 3}, Answer: &idempotency.Answer{Status: 200}, Now: 2})
		return t
	}
	raw, err := filledTable().Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		table := filledTable()
		before := len(table.claims)
		if table.Restore(raw) != nil {
			if len(table.claims) != before {
				t.Fatal("a rejected snapshot changed the table")
			}
			return
		}
		if _, err := table.Snapshot(); err != nil {
			t.Fatal(err)
		}
		_, _ = table.Apply(1, 1, raw)
	})
}
