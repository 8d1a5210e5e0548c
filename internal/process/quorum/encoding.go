package quorum

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// encoding writes times with their nanoseconds. The codec's default is whole seconds, in
// which three changes of a busy second have one time in the history.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the CBOR form of what a state machine's commands, answers and images are
// made of. cbor.Unmarshal reads it, and what older releases wrote.
func Encode(v any) ([]byte, error) {
	raw, err := encoding.Marshal(v)
	return raw, errors.Wrap(err, "encode")
}
