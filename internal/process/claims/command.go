package claims

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/request/idempotency"
)

// Kind is the operation that a command requests.
type Kind uint8

// The command kinds.
const (
	// KindClaim requests the right to run the request.
	KindClaim Kind = iota + 1
	// KindAnswer records the result of the run.
	KindAnswer
	// KindRelease releases the claim: the request was certainly not run.
	KindRelease
)

// Command is one log entry. It may be resent with the same token; the duplicate has no
// further effect.
type Command struct {
	Kind Kind           `cbor:"1,keyasint"`
	ID   idempotency.ID `cbor:"2,keyasint"`
	// Fingerprint identifies the content of the request; set for KindClaim.
	Fingerprint uint64            `cbor:"3,keyasint,omitempty"`
	Token       idempotency.Token `cbor:"4,keyasint"`
	// Answer is set for KindAnswer.
	Answer *idempotency.Answer `cbor:"5,keyasint,omitempty"`
	// Now is the time at the source that proposes the command, in Unix milliseconds.
	Now int64 `cbor:"6,keyasint"`
}

// Encode returns the command as the data of a log entry.
func (c *Command) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(c)
	return raw, errors.Wrap(err, "encode claim command")
}

// Apply executes the command in a committed log entry. An entry that cannot be decoded
// changes nothing, on every source alike.
func (t *Table) Apply(_, _ uint64, data []byte) (idempotency.Reply, error) {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return idempotency.Reply{Verdict: idempotency.NotHeld}, nil
	}
	return t.Execute(&c), nil
}

// BatchApplied implements quorum.StateMachine. It does nothing, because the table does not
// publish its state.
func (t *Table) BatchApplied() {}
