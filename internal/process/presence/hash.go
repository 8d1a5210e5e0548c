package presence

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// hash identifies a stamp.
func (s Stamp) hash() uint64 {
	raw := append([]byte(s.Name), 0)
	raw = binary.LittleEndian.AppendUint64(raw, s.Incarnation)
	raw = binary.LittleEndian.AppendUint64(raw, s.Seq)
	return xxhash.Sum64(raw)
}
