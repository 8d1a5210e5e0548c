package peer

import "github.com/cockroachdb/errors"

// DefaultMaxMessage is the maximum size of a control message in bytes if Traffic sets none.
const DefaultMaxMessage = 64 << 20

// ErrMessageTooLarge is returned when reading from a connection whose next message exceeds the
// limit. Nothing of the message is buffered.
var ErrMessageTooLarge = errors.New("control message exceeds the size limit")

// frameLimiter parses the frame lengths of a gob stream, so that a frame above the limit is
// rejected at its first bytes, before the decoder allocates memory for it. Each frame consists
// of its length and that many bytes. A length of up to 127 is a single byte; otherwise it is a
// negated byte count followed by that many bytes in big-endian order (package encoding/gob).
type frameLimiter struct {
	max uint64
	// payloadLeft is the number of bytes of the frame still to be read.
	payloadLeft uint64
	// lengthBytesLeft is the number of bytes of a multi-byte length still to be read; length is
	// the value read so far.
	lengthBytesLeft int
	length          uint64
}

// maxLengthBytes is the maximum number of bytes of a length.
const maxLengthBytes = 8

// consume processes bytes that were read from the connection.
func (f *frameLimiter) consume(p []byte) error {
	for len(p) > 0 {
		if f.payloadLeft > 0 {
			n := min(f.payloadLeft, uint64(len(p)))
			f.payloadLeft -= n
			p = p[n:]
			continue
		}
		if err := f.consumeLengthByte(p[0]); err != nil {
			return err
		}
		p = p[1:]
	}
	return nil
}

// consumeLengthByte processes one byte of a length.
func (f *frameLimiter) consumeLengthByte(b byte) error {
	switch {
	case f.lengthBytesLeft > 0:
		f.length = f.length<<8 | uint64(b)
		f.lengthBytesLeft--
	case b <= 0x7f:
		f.length = uint64(b)
	default:
		f.length = 0
		f.lengthBytesLeft = -int(int8(b))
	}
	if f.lengthBytesLeft > maxLengthBytes {
		return errors.Wrap(ErrMessageTooLarge, "malformed length")
	}
	if f.lengthBytesLeft > 0 {
		return nil
	}
	if f.length > f.max {
		return errors.Wrapf(ErrMessageTooLarge, "%d bytes", f.length)
	}
	f.payloadLeft = f.length
	return nil
}
