// Package idempotency decides, for one request that must run at most once, whether it may be
// sent to a backend server and what becomes of its claim afterwards.
//
// A caller identifies such a request with an idempotency key. The daemon that receives
// the request claims the key on a majority of sources before it forwards the request,
// and records the answer afterwards. A resend through any daemon finds the claim and
// is not run a second time: it gets the first answer, or the code that the request is
// still in progress, or the code that its outcome is unknown.
//
// The package does no I/O and reads no clock.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygate/daisygate/internal/result"
)

// MaxKeyLength is the maximum length of an idempotency key in bytes.
const MaxKeyLength = 255

// ID identifies a claim. It is a truncated SHA-256 of mesh and key, so that claims have
// a fixed size and callers cannot make two keys collide.
//
// Route and service are not part of it: a resend must find its claim even if operators
// renamed the route or moved it to another service in between.
type ID [16]byte

// NewID returns the ID for a key in a mesh.
func NewID(mesh, key string) ID {
	h := sha256.New()
	_, _ = h.Write([]byte(mesh))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	var id ID
	copy(id[:], h.Sum(nil))
	return id
}

// Request holds what distinguishes two requests with the same key. The host is not part
// of it, because a resend through another daemon may use another address.
type Request struct {
	Method, Path, Query string
	ContentType         string
	// ContentLength is in bytes, -1 if not known in advance.
	ContentLength int64
	// Body is the whole body if it is small, else nil: a large body has not been read
	// yet when the key is claimed.
	Body []byte
}

// Fingerprint returns a hash of the request.
func (r *Request) Fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Path, r.Query, r.ContentType} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(r.ContentLength))
	_, _ = d.Write(size[:])
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Token identifies one attempt to run a request. Tokens are unique.
type Token struct {
	// Node and Incarnation identify the daemon process that made the claim.
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Seq is the sequence number of the claim within that process.
	Seq uint64 `cbor:"3,keyasint"`
}

// HeaderField is one line of the header of an answer.
type HeaderField struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Answer is the recorded result of the first run.
type Answer struct {
	// Code is OK for an answer of a backend server, or a code of unknown outcome if the
	// answer was lost.
	Code   result.Code   `cbor:"1,keyasint,omitempty"`
	Status int           `cbor:"2,keyasint,omitempty"`
	Header []HeaderField `cbor:"3,keyasint,omitempty"`
	Body   []byte        `cbor:"4,keyasint,omitempty"`
	// Dropped is set if the request ran but its answer was not kept, because it was too
	// large or was evicted. Header and Body are then empty.
	Dropped bool `cbor:"5,keyasint,omitempty"`
}

// Size returns the approximate memory use of an answer in bytes.
func (a *Answer) Size() int {
	size := len(a.Body)
	for _, f := range a.Header {
		size += len(f.Name) + len(f.Value)
	}
	return size
}

// Verdict is the claim table's result for a command.
type Verdict uint8

const (
	// Granted: the token holds the claim and the request may run.
	Granted Verdict = iota + 1
	// Held: another token holds the claim and has not recorded an answer.
	Held
	// Answered: the first run has ended; Reply.Answer is its result.
	Answered
	// Mismatch: the key was used for a request with another fingerprint.
	Mismatch
	// Full: the table is full; nothing was claimed.
	Full
	// Cancelled: the token was released before its claim arrived.
	Cancelled
	// Done: the answer was recorded or the claim was released.
	Done
	// NotHeld: the token does not hold the claim; nothing was changed.
	NotHeld
)

// Reply is the reply to one command.
type Reply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Owner is the holder of the claim; set if Held.
	Owner Token `cbor:"2,keyasint"`
	// Answer is set if Answered.
	Answer *Answer `cbor:"3,keyasint,omitempty"`
	// Wait is the time until there may be room; set if Full.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
}
