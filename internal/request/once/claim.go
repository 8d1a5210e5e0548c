// Package once decides, for one request that must run at most once, whether it
// may be sent to a backend server and what becomes of its claim afterwards.
//
// A caller names such a request with an idempotency key. The daemon that takes
// it in claims the key on a majority of sources before the request leaves, and
// records the answer after. A resend through any daemon finds the claim: it
// gets the first answer, or is told to come back, or that the outcome is
// unknown; it is never run a second time.
//
// The package does no I/O and reads no clock.
package once

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygate/daisygate/internal/result"
)

// MaxKeyLength bounds an idempotency key, in bytes.
const MaxKeyLength = 255

// ID names a claim: a truncated SHA-256 of mesh and key, so that a claim has one
// size and callers cannot make two keys collide.
//
// Routes and services are left out: a resend must find its claim also when the
// operators renamed its route or moved it to another service in between.
type ID [16]byte

// NewID returns the ID of a key in a mesh.
func NewID(mesh, key string) ID {
	h := sha256.New()
	_, _ = h.Write([]byte(mesh))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	var id ID
	copy(id[:], h.Sum(nil))
	return id
}

// Request is what tells two requests under one key apart. The host is left out:
// a resend through another daemon may name it by another address.
type Request struct {
	Method, Path, Query string
	ContentType         string
	// ContentLength is in bytes, -1 when it is not known beforehand.
	ContentLength int64
	// Body is the whole body if it is small, else nil: a large one has not been
	// read when the key is claimed.
	Body []byte
}

// Fingerprint hashes the request.
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

// Token names one attempt to run a request: no two attempts share one.
type Token struct {
	// Node and Incarnation name the daemon's process that made the claim.
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Seq counts the claims of that process.
	Seq uint64 `cbor:"3,keyasint"`
}

// HeaderField is one line of an answer's header.
type HeaderField struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Answer is what is recorded of the first run.
type Answer struct {
	// Code is OK for an answer of a backend server; a code of unknown outcome
	// when the answer was lost on the way.
	Code   result.Code   `cbor:"1,keyasint,omitempty"`
	Status int           `cbor:"2,keyasint,omitempty"`
	Header []HeaderField `cbor:"3,keyasint,omitempty"`
	Body   []byte        `cbor:"4,keyasint,omitempty"`
	// Dropped tells that the request ran and its answer was not kept: it was
	// too large, or had to make room. Then Header and Body are empty.
	Dropped bool `cbor:"5,keyasint,omitempty"`
}

// Size is what an answer takes in memory, in bytes, roughly.
func (a *Answer) Size() int {
	size := len(a.Body)
	for _, f := range a.Header {
		size += len(f.Name) + len(f.Value)
	}
	return size
}

// Verdict is what the claim table says to a command.
type Verdict uint8

// The verdicts.
const (
	// Granted: the token holds the claim; the request may run.
	Granted Verdict = iota + 1
	// Held: another token holds the claim and has recorded no answer.
	Held
	// Answered: the first run has ended; Reply.Answer holds what is known.
	Answered
	// Mismatch: the key was used for a request with another fingerprint.
	Mismatch
	// Full: the table has no room; nothing was claimed.
	Full
	// Cancelled: the token was released before its claim arrived.
	Cancelled
	// Done: an answer was recorded or a claim released.
	Done
	// NotHeld: the token does not hold the claim; nothing was changed.
	NotHeld
)

// Reply answers one command.
type Reply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Owner holds the claim; set when Held.
	Owner Token `cbor:"2,keyasint"`
	// Answer is set when Answered.
	Answer *Answer `cbor:"3,keyasint,omitempty"`
	// Wait is set when Full: how long until there may be room.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
}
