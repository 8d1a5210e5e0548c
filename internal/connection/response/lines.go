package response

import (
	"bufio"
	"bytes"
	"io"
	"math"

	"github.com/cockroachdb/errors"
)

const (
	// unlimited is the limit of a header: whoever reads a response limits it with the reader.
	unlimited = math.MaxInt
	// maxTrailerBytes limits the trailers of a response.
	maxTrailerBytes = 4 << 10
)

var errTrailersTooLarge = errors.Newf("the trailers of the response exceed %d bytes", maxTrailerBytes)

// lineReader reads lines of a header or of trailers.
type lineReader struct {
	br *bufio.Reader
	// left is how many more bytes the lines may have.
	left int
	// number is the number of the last line, from 1.
	number int
}

// next returns the next line without its line break: a line feed that may have a carriage return before it
// (RFC 9112, section 2.2).
func (l *lineReader) next() (string, error) {
	l.number++
	line, err := l.read()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return "", err
	}
	return string(bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))), nil
}

// read returns the next line with its line break. It is valid until the next read.
func (l *lineReader) read() ([]byte, error) {
	var long []byte // the beginning of a line that is longer than the buffer of br
	for {
		part, err := l.br.ReadSlice('\n')
		if l.left -= len(part); l.left < 0 {
			return nil, errTrailersTooLarge
		}
		switch {
		case err == bufio.ErrBufferFull:
			long = append(long, part...)
		case long == nil:
			return part, err
		default:
			return append(long, part...), err
		}
	}
}

// malformed returns an error about the last line.
func (l *lineReader) malformed(problem string) error {
	return &MalformedError{Line: l.number, Problem: problem}
}
