// Package storage implements the write-ahead log of a group member: an append-only
// file of synced records, each with its length and a CRC-32C checksum. The log is
// rewritten when a snapshot replaces most of it, and each time that it is opened. Open
// drops a torn record at the end, but fails on a damaged record that is followed by valid
// ones, because accepted state would be missing.
//
// A write or a sync that fails leaves unknown what is on disk. The log then takes nothing
// until Reopen has read it back.
package storage

import (
	"bytes"
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

// Log is the log of a member. It is not safe for concurrent use.
type Log struct {
	dir Dir
	// file is nil while the log is not open.
	file  File
	syncs uint64
	// size is the number of bytes of the log that are known to be synced; 0 before the
	// log was opened.
	size int64
	// replacement is the content of a file that may or may not have replaced the log on
	// disk; nil if that is known.
	replacement []byte
	// failed is set while nothing may be written, because the content on disk is unknown.
	failed error
}

// Open opens or creates the log in dir and returns its content. After an error, the
// returned Log is not open, and Reopen may succeed later.
func Open(dir Dir) (*Log, replica.Restored, error) {
	l := &Log{dir: dir}
	restored, err := l.Reopen()
	return l, restored, err
}

// Reopen reads the log from disk, writes what it has read to a new file that replaces the
// log, and returns it. The log is then open again; after an error, it is not. A new log is
// assigned a random disk ID.
//
// Only bytes that were synced count: data of a write or a sync that failed may be in the page
// cache without being on disk. The new file makes everything durable that is returned, also
// what a process read that was started after a failed sync, and shows that the disk has room.
func (l *Log) Reopen() (replica.Restored, error) {
	l.closeFile()
	restored, err := l.readBack()
	if err != nil {
		l.failed = err
		return replica.Restored{}, err
	}
	if l.failed = l.rewrite(restored); l.failed != nil {
		return replica.Restored{}, l.failed
	}
	return restored, nil
}

// readBack returns the synced content of the log on disk.
func (l *Log) readBack() (replica.Restored, error) {
	var restored replica.Restored
	if err := l.dir.Prepare(); err != nil {
		return restored, err
	}
	raw, err := l.dir.ReadFile(logName)
	if err != nil && (l.size > 0 || !errors.Is(err, os.ErrNotExist)) {
		return restored, errors.Wrap(err, "read log")
	}
	if l.replacement != nil && bytes.Equal(raw, l.replacement) {
		l.size = int64(len(raw))
	}
	if l.size > 0 && int64(len(raw)) > l.size {
		raw = raw[:l.size]
	}
	end, err := replay(raw, &restored)
	if err != nil {
		return restored, errors.Wrap(err, l.dir.Path(logName))
	}
	if end < l.size {
		return restored, errors.Wrapf(ErrDamaged, "%s: %d of %d synced bytes are valid", l.dir.Path(logName), end, l.size)
	}
	if restored.Membership.Disk == 0 {
		restored = replica.Restored{Membership: replica.Membership{Disk: newDiskID()}}
	}
	return restored, nil
}

// closeFile closes the file of the log. Everything that counts in it is synced.
func (l *Log) closeFile() {
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file = nil
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

func (l *Log) sync(file File) error {
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	l.syncs++
	return nil
}

// Save appends the state in r that must be persisted and syncs the log. After an error,
// nothing more is written until Reopen succeeds.
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
	if err := l.sync(l.file); err != nil {
		return err
	}
	l.size += int64(len(encoded))
	return nil
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
// either the old or the new content. If the new content cannot be written, the log remains
// open with the old content. If it is unknown which of the two the disk has, Save and
// Rewrite fail until Reopen succeeds.
func (l *Log) Rewrite(r replica.Restored) error {
	if l.failed != nil {
		return l.failed
	}
	return l.rewrite(r)
}

func (l *Log) rewrite(r replica.Restored) error {
	encoded, err := encodeRecords(record{
		HardState: &r.HardState, Membership: &r.Membership, Snapshot: &r.Snapshot, Entries: r.Entries,
	})
	if err != nil {
		return err
	}
	file, err := WriteSynced(l.dir, tempLogName, encoded)
	if err != nil {
		return errors.Wrap(err, "rewrite log")
	}
	l.syncs++
	l.replacement = encoded
	if err := ReplaceFile(l.dir, tempLogName, logName); err != nil {
		l.failed = errors.CombineErrors(err, file.Close())
		return l.failed
	}
	l.closeFile()
	l.replacement, l.file, l.size = nil, file, int64(len(encoded))
	return nil
}

// Syncs returns the number of syncs of the log since Open.
func (l *Log) Syncs() uint64 { return l.syncs }

// Size returns the size of the log in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the log.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
