package presence

import (
	"time"

	"github.com/daisygate/daisygate/internal/process/view"
)

// MessageType is the type of a Message.
type MessageType uint8

// The message types.
const (
	// MsgRecords contains records.
	MsgRecords MessageType = iota + 1
	// MsgRefute contains the stamps of live owners whose content is known.
	MsgRefute
	// MsgSuspect claims that daemons have failed.
	MsgSuspect
	// MsgDigest compares parts of the digest tree.
	MsgDigest
	// MsgStamps contains the stamps in a range of leaves.
	MsgStamps
	// MsgPull requests the stamps starting at a leaf.
	MsgPull
	// MsgWant requests records.
	MsgWant
	// MsgOffer contains the stamps that the receiver lacks.
	MsgOffer
)

// Message is a message between the presence tables of two daemons. Fields that its
// type does not use are empty.
type Message struct {
	Type    MessageType
	Records []Record
	// Repair is set if the records were requested, so they are not updates.
	Repair bool
	Stamps []Stamp
	Claims []Claim
	Digest []Digest
	// From and To are the range of leaves of MsgStamps, excluding To. From is the
	// first leaf of MsgPull.
	From, To uint16
	// Pull is set if MsgStamps is the reply to MsgPull.
	Pull bool
	Want []ID
}

// Routine reports whether m is the periodic comparison of the whole tables.
func (m *Message) Routine() bool {
	return m.Type == MsgDigest && len(m.Digest) == 1 && m.Digest[0].Level == 0
}

// Claim states that a daemon has failed.
type Claim struct {
	Stamp Stamp
	// Age is the number of seconds since the record was dropped; 0 for a new
	// suspicion.
	Age uint32
}

// Digest is the hash of one node of the digest tree.
type Digest struct {
	// Level is 0 for the root (the whole table) and levels for a leaf.
	Level uint8
	Index uint16
	Hash  uint32
}

// Action is an instruction to the driver. Exactly one field is set.
type Action struct {
	Send *Send
	// Change is a record that was added, replaced or dropped.
	Change *Change
	// Probe is a daemon to probe. The driver reports the result with Core.Probed.
	Probe *view.Node
	// Conflict is another live daemon with the name of this one.
	Conflict *view.Node
}

// Change is the alive record of a daemon before and after a change; nil for none.
type Change struct {
	Old, New *Record
}

// Send is a message to a linked node.
type Send struct {
	To      string
	Message Message
}

// Config configures a Core. It does not change during the lifetime of the Core.
type Config struct {
	Self view.Node
	// Incarnation is the incarnation of this process.
	Incarnation uint64
	// Suspects are those that earlier processes of this daemon left on its disk.
	Suspects []Suspect
	// DigestInterval is the time between digests, each sent on one random link.
	DigestInterval time.Duration
	// SuspectFor is how long a suspected daemon has to refute.
	SuspectFor time.Duration
	// ForgetAfter is how long the stamp of a dropped record is kept, so that an old
	// copy does not become alive again.
	ForgetAfter time.Duration
	// ProbeInterval is the time between probes of random daemons.
	ProbeInterval time.Duration
	// Seed seeds the random choices.
	Seed uint64
}
