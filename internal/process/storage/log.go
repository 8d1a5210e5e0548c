// Package storage keeps a member's log on disk: an append-only file of synced
// records, each with length and CRC-32C, rewritten when a snapshot replaces
// most of it. A torn record at the end is cut at opening; a damaged record with
// whole ones after it is refused, because accepted state would be missing.
package storage

import (
	"crypto/rand"
	"encoding/binary"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/process/replica"
)

const (
	logName = "log"
	// newName is the log while it is rewritten; it counts only once renamed.
	newName = "log.new"
)

// Log is the open log of one member. It is not safe for concurrent use.
type Log struct {
	dir   Dir
	file  File
	syncs uint64
	size  int64
	// failed is the first error; nothing is written after it.
	failed error
}

// Open opens or creates the log in dir and returns what it held. A log without
// a disk number, a new one that is, gets one at random.
func Open(dir Dir) (*Log, replica.Restored, error) {
	var restored replica.Restored
	raw, err := dir.ReadFile(logName)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, restored, errors.Wrap(err, "read log")
	}
	end, err := replay(raw, &restored)
	if err != nil {
		return nil, restored, errors.Wrap(err, dir.Path(logName))
	}
	l := &Log{dir: dir}
	if restored.Membership.Disk == 0 {
		restored = replica.Restored{Membership: replica.Membership{Disk: newDisk()}}
		return l, restored, l.Rewrite(restored)
	}
	if l.file, err = dir.OpenAt(logName, end); err != nil {
		return nil, restored, errors.Wrap(err, "open log")
	}
	l.size = end
	if err := l.sync(); err != nil {
		return nil, restored, errors.CombineErrors(err, l.file.Close())
	}
	return l, restored, nil
}

func newDisk() uint64 {
	var raw [8]byte
	for {
		_, _ = rand.Read(raw[:])
		if disk := binary.LittleEndian.Uint64(raw[:]); disk != 0 {
			return disk
		}
	}
}

func (l *Log) sync() error {
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	l.syncs++
	return nil
}

// Save appends what a Ready asks to persist and syncs it. After an error
// nothing is written any more: what is on disk is then uncertain.
func (l *Log) Save(r replica.Ready) error {
	if l.failed != nil || !r.Durable() {
		return l.failed
	}
	l.failed = l.write(r)
	return l.failed
}

func (l *Log) write(r replica.Ready) error {
	frames, err := frames(record{
		HardState: r.HardState, Membership: r.Membership, Snapshot: r.Snapshot, Entries: r.Entries,
	})
	if err != nil {
		return err
	}
	if _, err := l.file.Write(frames); err != nil {
		return errors.Wrap(err, "append to log")
	}
	l.size += int64(len(frames))
	return l.sync()
}

// frames splits the entries of r over as many records as needed.
func frames(r record) ([]byte, error) {
	entries := r.Entries
	var buf []byte
	for {
		n := prefix(entries)
		r.Entries = entries[:n]
		entries = entries[n:]
		var err error
		if buf, err = r.frame(buf); err != nil {
			return nil, err
		}
		if len(entries) == 0 {
			return buf, nil
		}
		r = record{}
	}
}

// prefix is how many of the entries fit one record, at least one.
func prefix(entries []replica.Entry) int {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > splitBytes {
			return i
		}
	}
	return len(entries)
}

// Rewrite replaces the log by one that holds just this. It is atomic: a crash
// leaves the old log or the new one.
func (l *Log) Rewrite(r replica.Restored) error {
	if l.failed == nil {
		l.failed = l.rewrite(r)
	}
	return l.failed
}

func (l *Log) rewrite(r replica.Restored) error {
	frames, err := frames(record{
		HardState: &r.HardState, Membership: &r.Membership, Snapshot: &r.Snapshot, Entries: r.Entries,
	})
	if err != nil {
		return err
	}
	file, err := l.dir.Create(newName)
	if err != nil {
		return errors.Wrap(err, "create log")
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file = file
	if _, err := file.Write(frames); err != nil {
		return errors.Wrap(err, "rewrite log")
	}
	if err := l.sync(); err != nil {
		return err
	}
	if err := l.dir.Rename(newName, logName); err != nil {
		return errors.Wrap(err, "rename log")
	}
	l.size = int64(len(frames))
	return errors.Wrap(l.dir.Sync(), "sync data folder")
}

// Syncs is the number of syncs of the log since Open.
func (l *Log) Syncs() uint64 { return l.syncs }

// Size is the length of the log in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the log.
func (l *Log) Close() error { return l.file.Close() }
