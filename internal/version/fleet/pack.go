package fleet

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// The first byte of a packed delta tells how the rest is encoded.
const (
	packPlain byte = 0
	packZstd  byte = 1
)

const (
	// packFrom is the size in bytes below which compression is not tried.
	packFrom = 256
	// packWindow bounds the memory of the compressor.
	packWindow = 256 << 10
)

// ErrTooLarge is returned by Unpack for what would exceed the limit.
var ErrTooLarge = errors.New("packed delta exceeds the limit")

// encoders are kept for reuse: one takes about a megabyte to build.
var encoders = sync.Pool{New: func() any {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(packWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err)
	}
	return e
}}

// Pack returns the form of an encoded delta that travels between daemons:
// compressed where that makes it smaller.
func Pack(raw []byte) []byte {
	plain := append([]byte{packPlain}, raw...)
	if len(raw) < packFrom {
		return plain
	}
	e := encoders.Get().(*zstd.Encoder)
	defer encoders.Put(e)
	packed := e.EncodeAll(raw, []byte{packZstd})
	if len(packed) < len(plain) {
		return packed
	}
	return plain
}

// Unpack reverses Pack. It returns at most limit bytes, and never builds more
// than that or the compressor's window.
func Unpack(packed []byte, limit int) ([]byte, error) {
	if len(packed) == 0 || len(packed) > limit+1 {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes packed", len(packed))
	}
	switch packed[0] {
	case packPlain:
		return packed[1:], nil
	case packZstd:
		return decompress(packed[1:], limit)
	}
	return nil, errors.Newf("packed delta of unknown form %d", packed[0])
}

func decompress(data []byte, limit int) ([]byte, error) {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(max(limit, packWindow))))
	if err != nil {
		return nil, errors.Wrap(err, "decompress delta")
	}
	defer d.Close()
	raw, err := d.DecodeAll(data, nil)
	tooLarge := errors.Is(err, zstd.ErrDecoderSizeExceeded) || errors.Is(err, zstd.ErrWindowSizeExceeded)
	if tooLarge || len(raw) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "over %d bytes unpacked", limit)
	}
	return raw, errors.Wrap(err, "decompress delta")
}
