package source

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/result"
)

// outcome is an answer whose text is not compressed yet. Compression takes as long as
// applying several hundred changes. It is therefore done by the requesting goroutine, on
// the source that received the request, so that it does not block the group.
type outcome struct {
	Answer
	text *manifestText
}

// packedAnswer returns the answer with its text compressed.
func (o outcome) packedAnswer() Answer {
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

// MarshalCBOR implements cbor.Marshaler. It encodes the answer with its text compressed.
func (o outcome) MarshalCBOR() ([]byte, error) { return quorum.Encode(o.packedAnswer()) }

// UnmarshalCBOR implements cbor.Unmarshaler.
func (o *outcome) UnmarshalCBOR(raw []byte) error {
	*o = outcome{}
	return cbor.Unmarshal(raw, &o.Answer)
}
