package storage

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/replica"
)

// FuzzReplay looks for the content of a log that is not survived: what cannot be read is
// refused or cut, and what was read once is read again.
func FuzzReplay(f *testing.F) {
	var log []byte
	for _, r := range []record{
		{Membership: &replica.Membership{Disk: 7, Voting: true, Voters: []replica.Voter{{Member: "a", Disk: 7}}}},
		{HardState: &replica.HardState{Term: 2, Vote: "a", Commit: 1}, Entries: []replica.Entry{{Index: 1, Term: 1, Data: []byte("data")}}},
		{Snapshot: &replica.Snapshot{Index: 1, Term: 1, Data: []byte("state")}},
		{Entries: []replica.Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2, Voters: []replica.Voter{{Member: "a", Disk: 7}}}}},
	} {
		framed, err := r.frame(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(framed)
		log = append(log, framed...)
	}
	f.Add(log)
	f.Add(log[:len(log)-3])
	f.Add(append([]byte("foreign"), log...))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var first, again replica.Restored
		end, err := replay(raw, &first)
		if err != nil {
			return
		}
		if end < 0 || end > int64(len(raw)) {
			t.Fatalf("whole records end at %d of %d bytes", end, len(raw))
		}
		if second, err := replay(raw[:end], &again); err != nil || second != end {
			t.Fatalf("read again: %d, %v; first %d", second, err, end)
		}
		qt.Check(t, again, qt.DeepEquals, first)
	})
}

// FuzzBody looks for the body of a record, framed as it has to be, that is not survived.
func FuzzBody(f *testing.F) {
	whole := record{
		HardState:  &replica.HardState{Term: 2, Vote: "a", Commit: 1},
		Snapshot:   &replica.Snapshot{Index: 1, Term: 1, Data: []byte("state"), Voters: []replica.Voter{{Member: "a", Disk: 7}}},
		Entries:    []replica.Entry{{Index: 2, Term: 2, Data: []byte("data")}},
		Membership: &replica.Membership{Disk: 7, Voting: true},
	}
	framed, err := whole.frame(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(framed[frameSize:])
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, body []byte) {
		path := t.TempDir()
		if err := os.WriteFile(filepath.Join(path, logName), frameOf(body), fileMode); err != nil {
			t.Fatal(err)
		}
		dir, err := NewOSDir(path)
		if err != nil {
			t.Fatal(err)
		}
		if log, _, err := Open(dir); err == nil {
			_ = log.Close()
		}
	})
}

// frameOf puts a frame around a body, as record.frame does.
func frameOf(body []byte) []byte {
	framed := append([]byte(nil), magic...)
	framed = binary.LittleEndian.AppendUint32(framed, uint32(len(body)))
	framed = append(framed, 0, 0, 0, 0)
	framed = append(framed, body...)
	binary.LittleEndian.PutUint32(framed[sumStart:], checksum(framed))
	return framed
}
