package peer

import "github.com/cockroachdb/errors"

// DefaultMaxMessage is the largest control message taken when Traffic sets
// none, in bytes.
const DefaultMaxMessage = 64 << 20

// ErrMessageTooLarge is returned by the read of a connection on which a message
// above the limit was announced. Nothing of the message is kept.
var ErrMessageTooLarge = errors.New("control message above the limit")

// frames follows the frames of a gob stream, so that one above the limit is
// refused on its first bytes, before the decoder makes room for it. Each frame
// is its length and as many bytes; the length is one byte up to 127, or else a
// negated count and that many bytes, the highest first (package encoding/gob).
type frames struct {
	max uint64
	// payload is how many bytes of the frame are to come.
	payload uint64
	// digits is how many bytes of a long length are to come, and length is what
	// came of it.
	digits int
	length uint64
}

// maxDigits is the most bytes of a length.
const maxDigits = 8

// advance takes in bytes that were read.
func (f *frames) advance(p []byte) error {
	for len(p) > 0 {
		if f.payload > 0 {
			n := min(f.payload, uint64(len(p)))
			f.payload -= n
			p = p[n:]
			continue
		}
		if err := f.step(p[0]); err != nil {
			return err
		}
		p = p[1:]
	}
	return nil
}

// step takes in one byte of a length.
func (f *frames) step(b byte) error {
	switch {
	case f.digits > 0:
		f.length = f.length<<8 | uint64(b)
		f.digits--
	case b <= 0x7f:
		f.length = uint64(b)
	default:
		f.length = 0
		f.digits = -int(int8(b))
	}
	if f.digits > maxDigits {
		return errors.Wrap(ErrMessageTooLarge, "malformed length")
	}
	if f.digits > 0 {
		return nil
	}
	if f.length > f.max {
		return errors.Wrapf(ErrMessageTooLarge, "%d bytes", f.length)
	}
	f.payload = f.length
	return nil
}
