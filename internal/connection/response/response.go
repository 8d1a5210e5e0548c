// Package response reads HTTP/1 responses (RFC 9112). Whoever reads the response of a backend server or of
// another daemon reads it here: what is not a valid response is an error, never a response of which a part
// was dropped or rewritten.
package response

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxInterim is the maximum number of interim responses to one request.
const maxInterim = 16

// minStatus is the smallest status code (RFC 9110, section 15), statusDigits the number of its digits.
const (
	minStatus    = 100
	statusDigits = 3
)

// Read reads the responses to r up to the end of the header of the final one, and returns that. It calls
// onInterim, unless it is nil, with the status of each interim response. The size of a header is limited by
// what br yields. The body, which reads from br, need not be closed. A response that is not valid is a
// *MalformedError.
func Read(br *bufio.Reader, r *http.Request, onInterim func(status int)) (*http.Response, error) {
	for range maxInterim {
		resp, err := readHead(br)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("unexpected 101 Switching Protocols response")
		case resp.StatusCode >= http.StatusOK:
			resp.Request = r
			if err := setBody(resp, br); err != nil {
				return nil, err
			}
			return resp, nil
		}
		if onInterim != nil {
			onInterim(resp.StatusCode)
		}
	}
	return nil, errors.New("too many interim responses")
}

// readHead reads the status line and the header of a response.
func readHead(br *bufio.Reader) (*http.Response, error) {
	lines := &lineReader{br: br, left: unlimited}
	statusLine, err := lines.next()
	if err != nil {
		return nil, err
	}
	resp, err := lines.parseStatusLine(statusLine)
	if err != nil {
		return nil, err
	}
	if resp.Header, err = lines.readFields(); err != nil {
		return nil, err
	}
	if resp.Header == nil {
		resp.Header = http.Header{}
	}
	return resp, nil
}

// parseStatusLine parses a status line (RFC 9112, section 4). Several spaces before the status code and a
// missing reason phrase are accepted.
func (l *lineReader) parseStatusLine(line string) (*http.Response, error) {
	proto, status, _ := strings.Cut(line, " ")
	status = strings.TrimLeft(status, " ")
	resp := &http.Response{Proto: proto, Status: status}
	var valid bool
	if resp.ProtoMajor, resp.ProtoMinor, valid = http.ParseHTTPVersion(proto); !valid || resp.ProtoMajor != 1 {
		return nil, l.malformed("the protocol version is not HTTP/1")
	}
	digits, reason, _ := strings.Cut(status, " ")
	code, err := strconv.ParseUint(digits, 10, 16)
	if err != nil || len(digits) != statusDigits || code < minStatus {
		return nil, l.malformed("the status code is not valid")
	}
	if !isFieldValue(reason) {
		return nil, l.malformed("the reason phrase has a control character")
	}
	resp.StatusCode = int(code)
	return resp, nil
}
