package response

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"slices"
	"strconv"
	"strings"
)

const (
	encodingField = "Transfer-Encoding"
	lengthField   = "Content-Length"
	trailerField  = "Trailer"
	// chunked is the only transfer coding that is supported.
	chunked = "chunked"
	// unknownLength is the ContentLength of a body whose end only its reader finds.
	unknownLength = -1
)

// setBody finds how the body of a response is delimited (RFC 9112, section 6.3), and sets it up together
// with the fields of the response that follow from it.
func setBody(resp *http.Response, br *bufio.Reader) error {
	length, err := contentLength(resp.Header)
	if err != nil {
		return err
	}
	if err := takeEncoding(resp); err != nil {
		return err
	}
	resp.ContentLength, resp.Close = length, closesConnection(resp)
	switch {
	case !hasBody(resp):
		if resp.Request.Method != http.MethodHead {
			resp.ContentLength = 0
		}
		resp.Body = http.NoBody
	case len(resp.TransferEncoding) > 0:
		// It overrides a Content-Length, which must not be passed on.
		resp.ContentLength = unknownLength
		delete(resp.Header, lengthField)
		resp.Body = io.NopCloser(&chunkedBody{chunks: httputil.NewChunkedReader(br), br: br, resp: resp})
	case length == 0:
		resp.Body = http.NoBody
	case length > 0:
		resp.Body = io.NopCloser(&lengthBody{r: br, left: length})
	default:
		resp.Close = true
		resp.Body = io.NopCloser(br)
	}
	return nil
}

// EndsWithConnection reports whether only the end of the connection ends the body of a response.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength == unknownLength && len(resp.TransferEncoding) == 0 && hasBody(resp)
}

// hasBody reports whether a response may have a body.
func hasBody(resp *http.Response) bool {
	switch {
	case resp.Request.Method == http.MethodHead:
		return false
	case resp.Request.Method == http.MethodConnect:
		return resp.StatusCode >= http.StatusMultipleChoices
	}
	return resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// takeEncoding moves the transfer coding, and the trailers that a chunked response announces, from the
// header to the response. HTTP/1.0 has no transfer coding: where the body of such a response ends is unknown
// (RFC 9112, section 6.1).
func takeEncoding(resp *http.Response) (err error) {
	encodings, found := resp.Header[encodingField]
	switch {
	case !found:
		return nil
	case len(encodings) != 1 || !strings.EqualFold(encodings[0], chunked):
		return &MalformedError{Problem: "the transfer coding is not supported"}
	case !resp.ProtoAtLeast(1, 1):
		return &MalformedError{Problem: "HTTP/1.0 has no transfer coding"}
	}
	delete(resp.Header, encodingField)
	resp.TransferEncoding = []string{chunked}
	resp.Trailer, err = takeAnnouncedTrailers(resp.Header)
	return err
}

// contentLength returns the Content-Length, or unknownLength if there is none. One that is repeated with the
// same value is reduced to one.
func contentLength(header http.Header) (int64, error) {
	values, found := header[lengthField]
	if !found {
		return unknownLength, nil
	}
	values = slices.Compact(slices.Clone(values))
	// 63 bits, as an int64 has for numbers that are not negative.
	length, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil || len(values) > 1 {
		return 0, &MalformedError{Problem: "the Content-Length is not one number"}
	}
	header[lengthField] = values
	return int64(length), nil
}

// closesConnection reports whether the server closes the connection after the response (RFC 9112, section
// 9.3).
func closesConnection(resp *http.Response) bool {
	options := resp.Header["Connection"]
	if hasOption(options, "close") {
		return true
	}
	return !resp.ProtoAtLeast(1, 1) && !hasOption(options, "keep-alive")
}

// takeAnnouncedTrailers removes the Trailer field from the header and returns the names that it lists, each
// without a value, or nil. A field that delimits a message can't be a trailer.
func takeAnnouncedTrailers(header http.Header) (http.Header, error) {
	var trailers http.Header
	for _, list := range header[trailerField] {
		for name := range strings.SplitSeq(list, ",") {
			name = http.CanonicalHeaderKey(strings.Trim(name, " \t"))
			if name == "" {
				continue
			}
			if !isToken(name) || name == encodingField || name == lengthField || name == trailerField {
				return nil, &MalformedError{Problem: "the Trailer field lists what can't be a trailer"}
			}
			if trailers == nil {
				trailers = http.Header{}
			}
			trailers[name] = nil
		}
	}
	delete(header, trailerField)
	return trailers, nil
}

// lengthBody is a body of a known length.
type lengthBody struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader. It returns io.EOF together with the last bytes.
func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in the chunked transfer coding. Its trailers belong to it: it is complete only if
// they are.
type chunkedBody struct {
	chunks io.Reader
	br     *bufio.Reader
	resp   *http.Response
	// err is what ended the body.
	err error
}

// Read implements io.Reader. At the end of the body it sets the trailers of the response.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		err = b.readTrailers()
	}
	b.err = err
	return n, err
}

// readTrailers reads the trailers and returns io.EOF if they are valid.
func (b *chunkedBody) readTrailers() error {
	lines := &lineReader{br: b.br, left: maxTrailerBytes}
	trailers, err := lines.readFields()
	if err != nil {
		return err
	}
	for name, values := range trailers {
		if b.resp.Trailer == nil {
			b.resp.Trailer = http.Header{}
		}
		b.resp.Trailer[name] = append(b.resp.Trailer[name], values...)
	}
	return io.EOF
}
