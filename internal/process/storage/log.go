// Package storage implements the write-ahead log of a group member: an append-only
// file of synced records, each with its length and a CRC-32C checksum. The log is
// rewritten when a snapshot replaces most of it. Open truncates a torn record at the
// end, but fails on a damaged record that is followed by valid ones, because accepted
// state would be missing.
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
	// tempLogName is the file that a rewritten log is written to before it replaces
	// the log by a rename.
	tempLogName = "log.new"
)

// Log is the open log of a member. It is not safe for concurrent use.
type Log struct {
	dir   Dir
	file  File
	syncs uint64
	size  int64
	// failed is the first write error. Nothing is written after it.
	failed error
}

// Open opens or creates the log in dir and returns its content. A new log is assigned
// a random disk ID.
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
		restored = replica.Restored{Membership: replica.Membership{Disk: newDiskID()}}
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

func newDiskID() uint64 {
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

// Save appends the state in r that must be persisted and syncs the log. After an error,
// nothing more is written, because the content on disk is unknown.
func (l *Log) Save(r replica.Ready) error {
	if l.failed != nil || !r.Durable() {
		return l.failed
	}
	l.failed = l.write(r)
	return l.failed
}

func (l *Log) write(r replica.Ready) error {
	encoded, err := encodeRecords(record{
		HardState: r.HardState, Membership: r.Membership, Snapshot: r.Snapshot, Entries: r.Entries,
	})
	if err != nil {
		return err
	}
	if _, err := l.file.Write(encoded); err != nil {
		return errors.Wrap(err, "append to log")
	}
	l.size += int64(len(encoded))
	return l.sync()
}

// encodeRecords encodes r, and splits its entries into as many records as needed.
func encodeRecords(r record) ([]byte, error) {
	entries := r.Entries
	var buf []byte
	for {
		n := entriesPerRecord(entries)
		r.Entries = entries[:n]
		entries = entries[n:]
		var err error
		if buf, err = r.appendTo(buf); err != nil {
			return nil, err
		}
		if len(entries) == 0 {
			return buf, nil
		}
		r = record{}
	}
}

// entriesPerRecord returns the number of leading entries that fit into one record, at
// least one.
func entriesPerRecord(entries []replica.Entry) int {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > maxRecordBytes {
			return i
		}
	}
	return len(entries)
}

// Rewrite atomically replaces the content of the log with r: after a crash, the log has
// either the old or the new content.
func (l *Log) Rewrite(r replica.Restored) error {
	if l.failed == nil {
		l.failed = l.rewrite(r)
	}
	return l.failed
}

func (l *Log) rewrite(r replica.Restored) error {
	encoded, err := encodeRecords(record{
		HardState: &r.HardState, Membership: &r.Membership, Snapshot: &r.Snapshot, Entries: r.Entries,
	})
	if err != nil {
		return err
	}
	file, err := l.dir.Create(tempLogName)
	if err != nil {
		return errors.Wrap(err, "create log")
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file = file
	if _, err := file.Write(encoded); err != nil {
		return errors.Wrap(err, "rewrite log")
	}
	if err := l.sync(); err != nil {
		return err
	}
	if err := l.dir.Rename(tempLogName, logName); err != nil {
		return errors.Wrap(err, "rename log")
	}
	l.size = int64(len(encoded))
	return errors.Wrap(l.dir.Sync(), "sync data folder")
}

// Syncs returns the number of syncs of the log since Open.
func (l *Log) Syncs() uint64 { return l.syncs }

// Size returns the size of the log in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the log.
func (l *Log) Close() error { return l.file.Close() }
