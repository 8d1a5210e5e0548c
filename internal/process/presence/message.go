package presence

import (
	"time"

	"github.com/daisygate/daisygate/internal/process/view"
)

// MessageType tells what a Message is.
type MessageType uint8

// The message types.
const (
	// MsgRecords brings records.
	MsgRecords MessageType = iota + 1
	// MsgRefute brings stamps of live owners whose content is known.
	MsgRefute
	// MsgSuspect claims that daemons are gone.
	MsgSuspect
	// MsgDigest compares parts of the digest tree.
	MsgDigest
	// MsgStamps brings the stamps of a range of leaves.
	MsgStamps
	// MsgPull asks for the stamps from a leaf on.
	MsgPull
	// MsgWant asks for records.
	MsgWant
	// MsgOffer brings the stamps that the receiver lacks.
	MsgOffer
)

// Message is what presences exchange; the fields that its type does not name
// are empty.
type Message struct {
	Type    MessageType
	Records []Record
	// Repair marks records that were asked for: they are no news.
	Repair bool
	Stamps []Stamp
	Claims []Claim
	Digest []Digest
	// From and To bound the leaves of MsgStamps, To excluded; From is where
	// MsgPull begins.
	From, To uint16
	// Pull marks MsgStamps as the answer to MsgPull.
	Pull bool
	Want []ID
}

// Routine reports whether m is the periodic comparison of whole tables.
func (m *Message) Routine() bool {
	return m.Type == MsgDigest && len(m.Digest) == 1 && m.Digest[0].Level == 0
}

// Claim says that a daemon is gone.
type Claim struct {
	Stamp Stamp
	// Age is for how many seconds its record has been dropped; 0 for a new
	// suspicion.
	Age uint32
}

// Digest is the hash of one part of the table.
type Digest struct {
	// Level is 0 for the whole table, levels for a leaf.
	Level uint8
	Index uint16
	Hash  uint32
}

// Action is what the driver must do; exactly one field is set.
type Action struct {
	Send *Send
	// Change is one daemon whose record counts anew, differently or no more.
	Change *Change
	// Probe asks whether a daemon can be reached; the answer is Core.Probed.
	Probe *view.Node
	// Conflict is another live daemon with this daemon's name.
	Conflict *view.Node
}

// Change is the record that counted before and the one that counts now; nil for
// none.
type Change struct {
	Old, New *Record
}

// Send delivers a message to a linked node.
type Send struct {
	To      string
	Message Message
}

// Config is fixed for the life of a Core.
type Config struct {
	Self view.Node
	// Incarnation of this process.
	Incarnation uint64
	// DigestInterval is the time between digests to one random link.
	DigestInterval time.Duration
	// SuspectFor is how long a suspect has to refute.
	SuspectFor time.Duration
	// ForgetAfter is how long a dropped record's stamp is kept, so that an old
	// copy does not come back.
	ForgetAfter time.Duration
	// ProbeInterval is the time between probes of random daemons.
	ProbeInterval time.Duration
	// Seed makes the random choices of this Core.
	Seed uint64
}
