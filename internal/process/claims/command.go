package claims

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/request/once"
)

// Kind tells what a command asks for.
type Kind uint8

// The kinds of command.
const (
	// KindClaim asks for the right to run the request.
	KindClaim Kind = iota + 1
	// KindAnswer records how the run ended.
	KindAnswer
	// KindRelease gives the claim back: the request certainly was not run.
	KindRelease
)

// Command is one entry of the log. Each may be sent again with the same token:
// the second has no further effect.
type Command struct {
	Kind Kind    `cbor:"1,keyasint"`
	ID   once.ID `cbor:"2,keyasint"`
	// Fingerprint is set with KindClaim.
	Fingerprint uint64     `cbor:"3,keyasint,omitempty"`
	Token       once.Token `cbor:"4,keyasint"`
	// Answer is set with KindAnswer.
	Answer *once.Answer `cbor:"5,keyasint,omitempty"`
	// Now is stamped by the source that proposes, in Unix milliseconds.
	Now int64 `cbor:"6,keyasint"`
}

// Encode returns the entry.
func (c *Command) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(c)
	return raw, errors.Wrap(err, "encode claim command")
}

// Apply carries out one committed entry. An entry that cannot be read changes
// nothing, on every source alike.
func (t *Table) Apply(_, _ uint64, data []byte) (once.Reply, error) {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return once.Reply{Verdict: once.NotHeld}, nil
	}
	return t.Do(&c), nil
}

// Applied implements quorum.StateMachine; nothing of the table is handed out.
func (t *Table) Applied() {}
