package source

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/result"
)

// outcome is an answer whose text is not packed yet. Packing takes as long as applying
// some hundred changes, so it is left to the goroutine that asked, at the one source that
// was asked, and the group goes on meanwhile.
type outcome struct {
	Answer
	text *text
}

// finish returns the whole answer.
func (o outcome) finish() Answer {
	if o.text == nil {
		return o.Answer
	}
	packed, err := o.text.pack()
	if err != nil {
		return Answer{Code: result.TextNotHeld, Fleet: o.Fleet, Winner: o.Winner, Detail: err.Error()}
	}
	o.Text = packed
	return o.Answer
}

// MarshalCBOR implements cbor.Marshaler: the finished answer travels.
func (o outcome) MarshalCBOR() ([]byte, error) { return quorum.Encode(o.finish()) }

// UnmarshalCBOR implements cbor.Unmarshaler.
func (o *outcome) UnmarshalCBOR(raw []byte) error {
	*o = outcome{}
	return cbor.Unmarshal(raw, &o.Answer)
}
