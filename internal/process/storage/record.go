package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/process/replica"
)

// A record on disk consists of a header of 12 bytes, little endian, and a CBOR body. The
// header is:
//
//	magic uint32, length of the body uint32, CRC-32C of length and body uint32
const (
	headerSize     = 12
	lengthOffset   = 4
	checksumOffset = 8
	// maxBodyBytes is the maximum body size. A larger length indicates damage.
	maxBodyBytes = 1 << 30
	// maxRecordBytes bounds the total entry data in one record that has more than one
	// entry.
	maxRecordBytes = 8 << 20
	// MaxEntryBytes is the maximum size of the data of one entry.
	MaxEntryBytes = 48 << 20
)

var (
	magic      = []byte{0xd5, 'D', 'G', '1'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// ErrDamaged is returned by Open for a damaged record that is not a torn record at the
// end, and by Reopen if synced records are missing.
var ErrDamaged = errors.New("damaged record in the middle of the log: accepted entries may be missing; " +
	"move the folder away and restart, so that the other members repair this one")

// ErrTooLarge is returned by Save for a record that Open would reject.
var ErrTooLarge = errors.New("record is too large")

// record is one write to the log. All parts are optional. A Snapshot replaces all entries
// in earlier records, whatever their index.
type record struct {
	HardState  *replica.HardState  `cbor:"1,keyasint,omitempty"`
	Snapshot   *replica.Snapshot   `cbor:"2,keyasint,omitempty"`
	Entries    []replica.Entry     `cbor:"3,keyasint,omitempty"`
	Membership *replica.Membership `cbor:"4,keyasint,omitempty"`
}

// appendTo appends the encoded record to buf.
func (r *record) appendTo(buf []byte) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(body) > maxBodyBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(body))
	}
	start := len(buf)
	buf = append(buf, magic...)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(body)))
	buf = append(buf, 0, 0, 0, 0)
	buf = append(buf, body...)
	binary.LittleEndian.PutUint32(buf[start+checksumOffset:], checksum(buf[start:]))
	return buf, nil
}

// checksum returns the checksum of the length and the body of an encoded record.
func checksum(encoded []byte) uint32 {
	sum := crc32.Update(0, castagnoli, encoded[lengthOffset:checksumOffset])
	return crc32.Update(sum, castagnoli, encoded[headerSize:])
}

// nextRecord returns the body and the total size of the record at the start of raw. It
// returns false if there is no valid record.
func nextRecord(raw []byte) (body []byte, size int64, ok bool) {
	if len(raw) < headerSize || !bytes.Equal(raw[:lengthOffset], magic) {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(raw[lengthOffset:])
	if length > maxBodyBytes || int(length) > len(raw)-headerSize {
		return nil, 0, false
	}
	encoded := raw[:headerSize+int(length)]
	if checksum(encoded) != binary.LittleEndian.Uint32(raw[checksumOffset:]) {
		return nil, 0, false
	}
	return encoded[headerSize:], int64(len(encoded)), true
}

// replay applies the valid records at the start of raw to restored, and returns the offset
// at which they end. Data after that is a torn record.
func replay(raw []byte, restored *replica.Restored) (int64, error) {
	var end int64
	for {
		body, size, ok := nextRecord(raw[end:])
		if !ok {
			break
		}
		var r record
		if err := cbor.Unmarshal(body, &r); err != nil {
			return 0, errors.Wrapf(ErrDamaged, "offset %d: %v", end, err)
		}
		if err := r.apply(restored); err != nil {
			return 0, errors.Wrapf(err, "offset %d", end)
		}
		end += size
	}
	// The first record is synced before the file gets its name, so it is never torn.
	if end == 0 && len(raw) > 0 || hasValidRecordAfter(raw[end:]) {
		return 0, errors.Wrapf(ErrDamaged, "offset %d", end)
	}
	return end, nil
}

// hasValidRecordAfter reports whether a valid record follows the damaged data at the start
// of raw.
func hasValidRecordAfter(raw []byte) bool {
	for len(raw) > 1 {
		i := bytes.Index(raw[1:], magic)
		if i < 0 {
			return false
		}
		raw = raw[1+i:]
		if _, _, ok := nextRecord(raw); ok {
			return true
		}
	}
	return false
}

func (r *record) apply(restored *replica.Restored) error {
	if r.HardState != nil {
		restored.HardState = *r.HardState
	}
	if r.Membership != nil {
		restored.Membership = *r.Membership
	}
	if r.Snapshot != nil {
		restored.Snapshot = *r.Snapshot
		restored.Entries = nil
	}
	return r.applyEntries(restored)
}

func (r *record) applyEntries(restored *replica.Restored) error {
	for _, e := range r.Entries {
		first := restored.Snapshot.Index + 1
		end := first + uint64(len(restored.Entries))
		if e.Index < first || e.Index > end {
			return errors.Wrapf(ErrDamaged, "entry with index %d, want an index from %d to %d", e.Index, first, end)
		}
		restored.Entries = append(restored.Entries[:e.Index-first], e)
	}
	return nil
}
