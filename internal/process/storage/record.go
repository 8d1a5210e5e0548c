package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/process/replica"
)

// A record on disk is a frame of 12 bytes, little endian, and a CBOR body:
//
//	magic uint32, length of the body uint32, CRC-32C of length and body uint32
const (
	frameSize   = 12
	lengthStart = 4
	sumStart    = 8
	// maxBody bounds a record's body: a larger one is damage.
	maxBody = 1 << 30
	// splitBytes bounds the entries put into one record.
	splitBytes = 8 << 20
	// MaxData bounds the data of one entry.
	MaxData = 48 << 20
)

var (
	magic      = []byte{0xd5, 'D', 'G', '1'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// ErrDamaged is returned by Open for a damaged record that is not a torn tail.
var ErrDamaged = errors.New("damaged record in the middle of the log: accepted state is missing here; " +
	"move the folder away and start again, the other members repair this one")

// ErrTooLarge is returned by Save for a record that could not be read again.
var ErrTooLarge = errors.New("record is too large")

// record is one write: any of its parts may be absent. A Snapshot replaces
// every entry before it, whatever its index.
type record struct {
	HardState  *replica.HardState  `cbor:"1,keyasint,omitempty"`
	Snapshot   *replica.Snapshot   `cbor:"2,keyasint,omitempty"`
	Entries    []replica.Entry     `cbor:"3,keyasint,omitempty"`
	Membership *replica.Membership `cbor:"4,keyasint,omitempty"`
}

// frame appends the record's bytes to buf.
func (r *record) frame(buf []byte) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(body) > maxBody {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(body))
	}
	start := len(buf)
	buf = append(buf, magic...)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(body)))
	buf = append(buf, 0, 0, 0, 0)
	buf = append(buf, body...)
	binary.LittleEndian.PutUint32(buf[start+sumStart:], checksum(buf[start:]))
	return buf, nil
}

// checksum covers the length and the body of a framed record.
func checksum(framed []byte) uint32 {
	sum := crc32.Update(0, castagnoli, framed[lengthStart:sumStart])
	return crc32.Update(sum, castagnoli, framed[frameSize:])
}

// next returns the body of the record at the start of raw, if it is whole, and
// the size of the record.
func next(raw []byte) (body []byte, size int64, ok bool) {
	if len(raw) < frameSize || !bytes.Equal(raw[:lengthStart], magic) {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(raw[lengthStart:])
	if length > maxBody || int(length) > len(raw)-frameSize {
		return nil, 0, false
	}
	framed := raw[:frameSize+int(length)]
	if checksum(framed) != binary.LittleEndian.Uint32(raw[sumStart:]) {
		return nil, 0, false
	}
	return framed[frameSize:], int64(len(framed)), true
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
		if err := r.apply(restored); err != nil {
			return 0, errors.Wrapf(err, "offset %d", end)
		}
		end += size
	}
	if wholeRecordAfter(raw[end:]) {
		return 0, errors.Wrapf(ErrDamaged, "offset %d", end)
	}
	return end, nil
}

// wholeRecordAfter looks for a whole record behind a damaged place.
func wholeRecordAfter(raw []byte) bool {
	for len(raw) > 1 {
		i := bytes.Index(raw[1:], magic)
		if i < 0 {
			return false
		}
		raw = raw[1+i:]
		if _, _, ok := next(raw); ok {
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
			return errors.Wrapf(ErrDamaged, "entry %d where %d to %d may follow", e.Index, first, end)
		}
		restored.Entries = append(restored.Entries[:e.Index-first], e)
	}
	return nil
}
