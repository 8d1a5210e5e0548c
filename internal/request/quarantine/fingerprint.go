// Package quarantine finds requests that crash backend servers and isolates them.
//
// All requests in progress at a crash become suspects, but none is blamed yet. A suspect
// that is sent again runs alone on its server. If it ends well, without an error of the
// server, it is cleared; if the server crashes again, the request is refused everywhere for
// a time that doubles with each further crash. So a request that crashes every server is
// found at its second crash, and an unrelated crash leads to no refusal.
//
// A request that crashed servers is refused for a time, then runs alone again. After a few such
// runs it is refused until nobody has sent it for long.
//
// Requests of other callers for the same content run alone once, too, while one of them is a
// suspect. Where those of two callers have crashed servers alone, those of callers that are not
// known to be harmless are refused with them.
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

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request across resends.
type Fingerprint uint64

// Content identifies what is asked for, whoever asks: it is the same for requests that differ only
// in their origin and organisation.
type Content uint64

// Identity holds what makes two sends the same request: who asks for what, with which body.
// Header fields are not part of it, because many change from send to send (deadlines,
// identifiers, times, credentials) and no list of them is complete: a request that is new to
// the fleet with each send crashes one server after the other. Requests that differ only in
// their headers share a fingerprint. The host is not part of it either, because a resend
// through another daemon may use another address.
type Identity struct {
	Mesh, Method, Path, Query string
	// Origin is the service of the instance where the request originated, or "", and
	// Organisation the one whose API key the caller sent, or "".
	Origin, Organisation string
	// ContentLength is in bytes, -1 if not known in advance.
	ContentLength int64
	// Body is the whole body if it is small, else nil.
	Body []byte
}

// bodyBits is the number of low bits of a Fingerprint that depend on the body. The others do not.
const bodyBits = 32

// Fingerprint returns a hash of the identity.
func (id *Identity) Fingerprint() Fingerprint {
	return Fingerprint(id.hash(id.Mesh, id.Method, id.Path, id.Query, id.Origin, id.Organisation))
}

// Content returns a hash of the identity without Origin and Organisation.
func (id *Identity) Content() Content {
	return Content(id.hash(id.Mesh, id.Method, id.Path, id.Query))
}

// hash returns a hash of the parts in the high bits, and of the body in the low bodyBits.
func (id *Identity) hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, s := range parts {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	head := d.Sum64()
	d.Reset()
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(id.ContentLength))
	_, _ = d.Write(size[:])
	_, _ = d.Write(id.Body)
	return head>>bodyBits<<bodyBits | d.Sum64()>>bodyBits
}

// differsInBodyOnly reports whether the two requests are the same except perhaps for their body.
func (f Fingerprint) differsInBodyOnly(other Fingerprint) bool { return f>>bodyBits == other>>bodyBits }
