// Package quarantine finds requests that crash backend servers and isolates them.
//
// All requests in progress at a crash become suspects, but none is blamed yet. A suspect
// that is sent again runs alone on its server. If it ends well, it is cleared; if the
// server crashes again, the request is refused everywhere for a time that doubles with
// each further crash. So a request that crashes every server is found at its second
// crash, and an unrelated crash leads to no refusal.
//
// If servers of two other daemons crash within two seconds of the crash at which a
// request ran alone, for instance because a rack failed, the request may not be the
// cause, and it runs alone once more. A request is excused only once, so a request
// whose second crash coincides with such a failure is found at its third.
//
// Each daemon reports the crashes on its own instance. The reports are disseminated
// with presence, and each daemon combines those of all daemons. The package does no I/O
// and reads no clock.
package quarantine

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request across resends.
type Fingerprint uint64

// Identity holds the parts of a request that its Fingerprint covers. The host is not
// one of them, because a resend through another daemon may use another address.
type Identity struct {
	Mesh, Method, Path, Query string
	// ContentLength is in bytes, -1 if not known in advance.
	ContentLength int64
	// Header is not modified. Fields that change between sends are ignored.
	Header map[string][]string
	// Body is the whole body if it is small, else nil.
	Body []byte
}

// volatileHeaders are header fields that change between sends, on the way, or with the
// connection.
var volatileHeaders = map[string]bool{
	"Accept-Encoding": true, "Baggage": true, "Connection": true, "Date": true, "Expect": true, "Forwarded": true,
	"Idempotency-Key": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Traceparent": true,
	"Tracestate": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "User-Agent": true, "Via": true,
	"X-Forwarded-For": true, "X-Forwarded-Host": true, "X-Forwarded-Proto": true,
}

const (
	// internalHeaderPrefix is the prefix of headers between daemons.
	internalHeaderPrefix = "Daisygate-"
	// identifierHeaderSuffix is the suffix of headers with request identifiers.
	identifierHeaderSuffix = "-Id"
)

func isStableHeader(name string) bool {
	return !volatileHeaders[name] && !strings.HasPrefix(name, internalHeaderPrefix) && !strings.HasSuffix(name, identifierHeaderSuffix)
}

// Fingerprint returns a hash of the identity.
func (id *Identity) Fingerprint() Fingerprint {
	d := xxhash.New()
	field := func(s string) {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	for _, s := range []string{id.Mesh, id.Method, id.Path, id.Query} {
		field(s)
	}
	var names []string
	for name := range id.Header {
		if isStableHeader(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		field(name)
		for _, value := range id.Header[name] {
			field(value)
		}
	}
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(id.ContentLength))
	_, _ = d.Write(size[:])
	_, _ = d.Write(id.Body)
	return Fingerprint(d.Sum64())
}
