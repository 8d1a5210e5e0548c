package quorum

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// encoding writes times with nanoseconds. The default of the codec is whole seconds,
// which gives several changes within one second the same time in the history.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the CBOR encoding of a command, an answer or a snapshot of a state
// machine. cbor.Unmarshal decodes it, as well as data written by older releases.
func Encode(v any) ([]byte, error) {
	raw, err := encoding.Marshal(v)
	return raw, errors.Wrap(err, "encode")
}
