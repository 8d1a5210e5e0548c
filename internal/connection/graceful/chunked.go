package graceful

import "github.com/cockroachdb/errors"

// maxSizeDigits is the maximum number of hexadecimal digits of a chunk's size; the largest such size
// fits into an int64.
const maxSizeDigits = 15

// maxTrailerBytes limits the trailers of a request.
const maxTrailerBytes = 16 << 10

var errTrailersTooLarge = errors.Newf("the trailers of the request exceed %d bytes", maxTrailerBytes)

// chunkedBody finds the end of a body in the chunked transfer coding (RFC 9112, section 7.1), and
// drops its trailers unless keepTrailers is set. net/http parses what is passed on.
type chunkedBody struct {
	state        chunkState
	keepTrailers bool
	// size and digits are the size of the current chunk and the number of its digits so far.
	size   int64
	digits int
	// trailerBytes is the size of the trailers so far.
	trailerBytes int
}

// chunkState is what the next byte belongs to.
type chunkState uint8

const (
	chunkSize chunkState = iota
	// chunkExtension is what follows the digits of the size, up to the end of the line.
	chunkExtension
	chunkSizeEnd
	chunkData
	chunkDataReturn
	chunkDataEnd
	trailerStart
	trailerLine
	// trailersEnd is the line feed of the empty line that ends the body.
	trailersEnd
	chunkedEnded
	// chunkedMalformed is final: whoever reads the body has to reject it.
	chunkedMalformed
)

// scan processes bytes of the body. It moves those that are passed on to the front of p, and returns
// how many these are and how many belong to the body. Those of a malformed body are passed on as they
// are.
func (b *chunkedBody) scan(p []byte) (kept, used int, err error) {
	for used < len(p) && b.state != chunkedEnded {
		n := 1
		switch b.state {
		case chunkData:
			n = int(min(b.size, int64(len(p)-used)))
			if b.size -= int64(n); b.size == 0 {
				b.state = chunkDataReturn
			}
		case chunkedMalformed:
			n = len(p) - used
		case trailerStart, trailerLine:
			if b.trailerBytes++; b.trailerBytes > maxTrailerBytes {
				return kept, used, errTrailersTooLarge
			}
			if !b.scanTrailer(p[used]) {
				used++
				continue
			}
		default:
			b.scanByte(p[used])
		}
		kept += copy(p[kept:], p[used:used+n])
		used += n
	}
	return kept, used, nil
}

// scanByte processes a byte between two parts of chunk data.
func (b *chunkedBody) scanByte(c byte) {
	digit, isDigit := hexDigit(c)
	switch {
	case b.state == chunkSize && isDigit && b.digits < maxSizeDigits:
		b.size, b.digits = b.size<<4|digit, b.digits+1
	case b.state == chunkSize && b.digits > 0 && !isDigit, b.state == chunkExtension:
		b.state = chunkExtension
		if c == '\r' {
			b.state = chunkSizeEnd
		}
		if c == '\n' {
			b.state = chunkedMalformed
		}
	case b.state == chunkSizeEnd && c == '\n':
		b.endSize()
	case b.state == chunkDataReturn && c == '\r':
		b.state = chunkDataEnd
	case b.state == chunkDataEnd && c == '\n':
		b.state, b.digits = chunkSize, 0
	case b.state == trailersEnd && c == '\n':
		b.state = chunkedEnded
	default:
		b.state = chunkedMalformed
	}
}

// endSize ends the line of a chunk's size. A size of zero ends the data.
func (b *chunkedBody) endSize() {
	b.state = chunkData
	if b.size == 0 {
		b.state = trailerStart
	}
}

// scanTrailer processes a byte of the trailers and reports whether it is passed on.
func (b *chunkedBody) scanTrailer(c byte) bool {
	switch {
	case b.state == trailerStart && c == '\r':
		b.state = trailersEnd
		return true
	case c == '\n':
		b.state = trailerStart
	default:
		b.state = trailerLine
	}
	return b.keepTrailers
}

func hexDigit(c byte) (int64, bool) {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}
