// Package storage keeps a source's log on disk: an append-only file of synced
// records, each with length and CRC-32C. A torn record at the end is cut at
// opening; a damaged record with whole ones after it is refused, because
// accepted state would be missing.
package storage

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/process/replica"
)

const (
	logName    = "log"
	headerSize = 8
	// maxRecord bounds a record's length: a larger one is damage.
	maxRecord = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged is returned by Open for a damaged record that is not a torn tail.
var ErrDamaged = errors.New("damaged record in the middle of the log")

// record is one write: any of its parts may be absent.
type record struct {
	HardState *replica.HardState `cbor:"1,keyasint,omitempty"`
	Snapshot  *replica.Snapshot  `cbor:"2,keyasint,omitempty"`
	Entries   []replica.Entry    `cbor:"3,keyasint,omitempty"`
}

// Log is the open log of one source. It is not safe for concurrent use.
type Log struct {
	file  *os.File
	dir   string
	syncs uint64
	size  int64
}

// Open opens or creates the log below dir and returns what it held.
func Open(dir string) (*Log, replica.Restored, error) {
	var restored replica.Restored
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, restored, errors.Wrap(err, "create data folder")
	}
	path := filepath.Join(dir, logName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return nil, restored, errors.Wrap(err, "open log")
	}
	raw, err := io.ReadAll(file)
	if err != nil {
		return nil, restored, errors.CombineErrors(errors.Wrap(err, "read log"), file.Close())
	}
	end, err := replay(raw, &restored)
	if err != nil {
		return nil, restored, errors.CombineErrors(errors.Wrap(err, path), file.Close())
	}
	l := &Log{file: file, dir: dir, size: end}
	if err := l.cutTail(end); err != nil {
		return nil, restored, errors.CombineErrors(err, file.Close())
	}
	return l, restored, nil
}

func (l *Log) cutTail(end int64) error {
	if err := l.file.Truncate(end); err != nil {
		return errors.Wrap(err, "cut torn tail")
	}
	if _, err := l.file.Seek(end, io.SeekStart); err != nil {
		return errors.Wrap(err, "seek log")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	return syncDir(l.dir)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	return errors.Wrap(errors.CombineErrors(d.Sync(), d.Close()), "sync data folder")
}

// replay applies whole records to restored and returns where they end.
func replay(raw []byte, restored *replica.Restored) (int64, error) {
	var end int64
	for {
		body, size, ok := next(raw[end:])
		if !ok {
			break
		}
		var r record
		if err := cbor.Unmarshal(body, &r); err != nil {
			return 0, errors.Wrapf(ErrDamaged, "offset %d: %v", end, err)
		}
		r.apply(restored)
		end += size
	}
	if wholeRecordAfter(raw[end:]) {
		return 0, errors.Wrapf(ErrDamaged, "offset %d", end)
	}
	return end, nil
}

// next returns the record at the start of raw, if it is whole.
func next(raw []byte) (body []byte, size int64, ok bool) {
	if len(raw) < headerSize {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(raw)
	sum := binary.LittleEndian.Uint32(raw[4:])
	if length == 0 || length > maxRecord || int(length) > len(raw)-headerSize {
		return nil, 0, false
	}
	body = raw[headerSize : headerSize+int(length)]
	if crc32.Checksum(body, castagnoli) != sum {
		return nil, 0, false
	}
	return body, headerSize + int64(length), true
}

// wholeRecordAfter looks for a whole record behind a damaged place.
func wholeRecordAfter(raw []byte) bool {
	for i := 1; i+headerSize < len(raw); i++ {
		if _, _, ok := next(raw[i:]); ok {
			return true
		}
	}
	return false
}

func (r *record) apply(restored *replica.Restored) {
	if r.Snapshot != nil {
		restored.Snapshot = *r.Snapshot
		kept := restored.Entries[:0]
		for _, e := range restored.Entries {
			if e.Index > r.Snapshot.Index {
				kept = append(kept, e)
			}
		}
		restored.Entries = kept
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		for len(restored.Entries) > 0 && restored.Entries[len(restored.Entries)-1].Index >= first {
			restored.Entries = restored.Entries[:len(restored.Entries)-1]
		}
		restored.Entries = append(restored.Entries, r.Entries...)
	}
	if r.HardState != nil {
		restored.HardState = *r.HardState
	}
}

// Save appends what a Ready asks to persist and syncs it. After an error the
// log must not be used further: what is on disk is then uncertain.
func (l *Log) Save(r replica.Ready) error {
	if r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 {
		return nil
	}
	body, err := cbor.Marshal(record{HardState: r.HardState, Snapshot: r.Snapshot, Entries: r.Entries})
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	frame := make([]byte, headerSize, headerSize+len(body))
	binary.LittleEndian.PutUint32(frame, uint32(len(body)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.Checksum(body, castagnoli))
	if _, err := l.file.Write(append(frame, body...)); err != nil {
		return errors.Wrap(err, "append to log")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	l.syncs++
	l.size += int64(headerSize + len(body))
	return nil
}

// Syncs is the number of syncs since Open.
func (l *Log) Syncs() uint64 { return l.syncs }

// Size is the length of the log in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the log.
func (l *Log) Close() error { return l.file.Close() }
