package fleet

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// The first byte of a packed delta is the encoding of the rest.
const (
	encodingPlain byte = 0
	encodingZstd  byte = 1
)

const (
	// minCompressSize is the size in bytes below which deltas are not compressed.
	minCompressSize = 256
	// zstdWindow is the zstd window size in bytes. It limits the compressor's memory.
	zstdWindow = 256 << 10
)

// ErrTooLarge is returned by Unpack for a delta that would exceed the limit.
var ErrTooLarge = errors.New("packed delta exceeds the size limit")

// encoders pools zstd encoders, because creating one allocates about a megabyte.
var encoders = sync.Pool{New: func() any {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(zstdWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err)
	}
	return e
}}

// Pack returns the wire form of an encoded delta, compressed if that makes it smaller.
func Pack(raw []byte) []byte {
	plain := append([]byte{encodingPlain}, raw...)
	if len(raw) < minCompressSize {
		return plain
	}
	e := encoders.Get().(*zstd.Encoder)
	defer encoders.Put(e)
	packed := e.EncodeAll(raw, []byte{encodingZstd})
	if len(packed) < len(plain) {
		return packed
	}
	return plain
}

// Unpack reverses Pack. It returns at most limit bytes, and allocates no more than the
// larger of limit and the zstd window.
func Unpack(packed []byte, limit int) ([]byte, error) {
	if len(packed) == 0 || len(packed) > limit+1 {
		return nil, errors.Wrapf(ErrTooLarge, "packed size is %d bytes", len(packed))
	}
	switch packed[0] {
	case encodingPlain:
		return packed[1:], nil
	case encodingZstd:
		return decompress(packed[1:], limit)
	}
	return nil, errors.Newf("packed delta has unknown encoding %d", packed[0])
}

func decompress(data []byte, limit int) ([]byte, error) {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(max(limit, zstdWindow))))
	if err != nil {
		return nil, errors.Wrap(err, "decompress delta")
	}
	defer d.Close()
	raw, err := d.DecodeAll(data, nil)
	tooLarge := errors.Is(err, zstd.ErrDecoderSizeExceeded) || errors.Is(err, zstd.ErrWindowSizeExceeded)
	if tooLarge || len(raw) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "unpacked size is over %d bytes", limit)
	}
	return raw, errors.Wrap(err, "decompress delta")
}
