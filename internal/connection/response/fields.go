package response

import (
	"net/http"
	"net/textproto"
	"strings"
)

// initialFields is for how many fields a header has room at first.
const initialFields = 12

// readFields reads the field lines of a header or of trailers up to the empty line that ends them. It
// returns nil if there are none.
func (l *lineReader) readFields() (http.Header, error) {
	var fields http.Header
	var values []string
	for {
		line, err := l.next()
		if err != nil {
			return nil, err
		}
		if line == "" {
			return fields, nil
		}
		name, value, err := l.parseField(line)
		if err != nil {
			return nil, err
		}
		if fields == nil {
			fields, values = make(http.Header, initialFields), make([]string, 0, initialFields)
		}
		if others := fields[name]; others != nil {
			fields[name] = append(others, value)
			continue
		}
		// Most fields have one value: they share an array, without room for a second one.
		values = append(values, value)
		last := len(values) - 1
		fields[name] = values[last : last+1 : last+1]
	}
}

// parseField parses a field line (RFC 9112, section 5). Recipients differ on what a name means that is no
// token, and then on where the body ends: Content-Length with a blank before the colon is the length to some
// and an unknown field to others. A line that begins with a blank, which continues the line before, is
// obsolete and is rejected as well (section 5.2).
func (l *lineReader) parseField(line string) (name, value string, err error) {
	name, value, found := strings.Cut(line, ":")
	if !found || !isToken(name) {
		return "", "", l.malformed("the name of the field is not valid")
	}
	value = strings.Trim(value, " \t")
	if !isFieldValue(value) {
		return "", "", l.malformed("the value of the field has a control character")
	}
	return textproto.CanonicalMIMEHeaderKey(name), value, nil
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		if !tokenBytes[s[i]] {
			return false
		}
	}
	return s != ""
}

// tokenBytes are the bytes that a token may have.
var tokenBytes = func() (allowed [256]bool) {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789" + letters + strings.ToUpper(letters)) {
		allowed[c] = true
	}
	return allowed
}()

// isFieldValue reports whether s has no control character but tabs (RFC 9110, section 5.5).
func isFieldValue(s string) bool {
	const del = 0x7f
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == del {
			return false
		}
	}
	return true
}

// hasOption reports whether the comma-separated lists in values contain an option.
func hasOption(values []string, option string) bool {
	for _, list := range values {
		for item := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.Trim(item, " \t"), option) {
				return true
			}
		}
	}
	return false
}
