// Package quarantine finds requests that crash backend servers and keeps them
// away from the rest.
//
// Requests in progress at a crash are suspects, and blamed for nothing yet. A
// suspect that is sent again runs alone: if it ends well it is cleared, if its
// server crashes again it is the culprit and is refused everywhere for a while
// that grows with each further crash. So a request that crashes every server is
// found at its second crash, and an ordinary crash blames nobody.
//
// When servers beside two further daemons crash within two seconds of the crash
// at which a request ran alone, as at the loss of a rack, that crash may not be
// its doing: it runs alone once more. So the second crash of a request that
// falls into such a time is excused once, and it is found at the next.
//
// Each daemon reports what it saw beside itself; the reports of all daemons are
// spread with presence and joined here. The package does no I/O and reads no
// clock.
package quarantine

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request that is sent again.
type Fingerprint uint64

// Identity is what a Fingerprint is made of. Host is left out: a resend through
// another daemon may name it by another address.
type Identity struct {
	Mesh, Method, Path, Query string
	// ContentLength is in bytes, -1 when it is not known beforehand.
	ContentLength int64
	// Header is read only; fields that change from one sending to the next are
	// passed over.
	Header map[string][]string
	// Body is the whole body if it is small, else nil.
	Body []byte
}

// volatile are header fields that change from one sending to the next, on the
// way, or with the connection.
var volatile = map[string]bool{
	"Accept-Encoding": true, "Baggage": true, "Connection": true, "Date": true, "Expect": true, "Forwarded": true,
	"Idempotency-Key": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Traceparent": true,
	"Tracestate": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "User-Agent": true, "Via": true,
	"X-Forwarded-For": true, "X-Forwarded-Host": true, "X-Forwarded-Proto": true,
}

const (
	// internalPrefix begins the names of headers between daemons.
	internalPrefix = "Daisygate-"
	// identifierSuffix ends the names of headers that number requests.
	identifierSuffix = "-Id"
)

func counts(name string) bool {
	return !volatile[name] && !strings.HasPrefix(name, internalPrefix) && !strings.HasSuffix(name, identifierSuffix)
}

// Fingerprint hashes the identity.
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
		if counts(name) {
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
