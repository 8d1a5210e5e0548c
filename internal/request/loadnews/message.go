package loadnews

import (
	"encoding/base64"
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/request/balance"
)

const (
	// messageFormat is the first byte of a message.
	messageFormat = 1
	// maxMessageLength bounds the text of a message, in bytes.
	maxMessageLength = 512
	// headLength is the number of bytes before the first report, minReportLength that of the
	// shortest report.
	headLength      = 5
	minReportLength = 18
	// serviceUnit is the precision of service times.
	serviceUnit = 100 * time.Microsecond
	// failureUnits and ratioUnits are the steps per 1 of failure rates and of slowness and
	// contention.
	failureUnits = 250
	ratioUnits   = 64
	// maxCount, maxService, maxIdle and maxRatio bound the values of a report; larger ones
	// are sent as these and rejected when received.
	maxCount   = 1 << 16
	maxService = time.Hour
	maxIdle    = time.Minute
	maxRatio   = 64
)

// encoding is the text form of messages; each message has exactly one.
var encoding = base64.RawURLEncoding.Strict()

// Message is what a daemon sends with a call or with its response.
type Message struct {
	Sender  PeerID
	Reports []Report
}

// Encode returns the message as the value of a header.
func (m Message) Encode() string {
	var buffer, text [maxMessageLength]byte
	raw := binary.BigEndian.AppendUint32(append(buffer[:0], messageFormat), uint32(m.Sender))
	for i := range m.Reports[:min(len(m.Reports), MaxReports)] {
		raw = m.Reports[i].append(raw)
	}
	return string(encoding.AppendEncode(text[:0], raw))
}

func (r *Report) append(raw []byte) []byte {
	raw = binary.BigEndian.AppendUint64(raw, uint64(r.Server))
	l := &r.Load
	for _, n := range [...]uint64{
		uint64(r.Sequence), steps(r.Age, MaxAge, time.Millisecond),
		uint64(min(max(l.Running, 0), maxCount)), uint64(min(max(l.Queued, 0), maxCount)), uint64(min(max(l.Limit, 1), maxCount)),
		steps(l.Service, maxService, serviceUnit), steps(l.Idle, maxIdle, time.Millisecond),
		fraction(l.FailureRate, 1, failureUnits), fraction(l.Slowness, maxRatio, ratioUnits), fraction(l.Contention, maxRatio, ratioUnits),
	} {
		raw = binary.AppendUvarint(raw, n)
	}
	return raw
}

// steps returns a duration of at most limit in units, rounded up so that ages never shrink.
func steps(d, limit, unit time.Duration) uint64 {
	return uint64((min(max(d, 0), limit) + unit - 1) / unit)
}

// fraction returns a number between 0 and limit in units of 1/units.
func fraction(x, limit float64, units int) uint64 {
	if math.IsNaN(x) {
		return 0
	}
	return uint64(math.Round(min(max(x, 0), limit) * float64(units)))
}

// Parse returns the message of a header. An error means that nothing of it can be used.
func Parse(text string) (Message, error) {
	if len(text) > maxMessageLength {
		return Message{}, errors.Newf("%d bytes exceed the maximum of %d", len(text), maxMessageLength)
	}
	var buffer [maxMessageLength]byte
	length, err := encoding.Decode(buffer[:], []byte(text))
	raw := buffer[:length]
	if err != nil {
		return Message{}, errors.Wrap(err, "decode base64")
	}
	if len(raw) < headLength || raw[0] != messageFormat {
		return Message{}, errors.Newf("%d bytes that do not start with format %d and a sender", len(raw), messageFormat)
	}
	m := Message{Sender: PeerID(binary.BigEndian.Uint32(raw[1:]))}
	raw = raw[headLength:]
	if n := min(len(raw)/minReportLength, MaxReports); n > 0 {
		m.Reports = make([]Report, 0, n)
	}
	for len(raw) > 0 {
		if len(m.Reports) == MaxReports {
			return Message{}, errors.Newf("more than %d reports", MaxReports)
		}
		var r Report
		if r, raw, err = parseReport(raw); err != nil {
			return Message{}, errors.Wrapf(err, "report %d", len(m.Reports))
		}
		m.Reports = append(m.Reports, r)
	}
	return m, nil
}

// parseReport parses the first report of raw and returns the rest.
func parseReport(raw []byte) (Report, []byte, error) {
	if len(raw) < 8 {
		return Report{}, nil, errors.Newf("%d bytes instead of a server", len(raw))
	}
	id := ServerID(binary.BigEndian.Uint64(raw))
	raw = raw[8:]
	limits := [...]uint64{
		math.MaxUint32, uint64(MaxAge / time.Millisecond), maxCount, maxCount, maxCount,
		uint64(maxService / serviceUnit), uint64(maxIdle / time.Millisecond), failureUnits, maxRatio * ratioUnits, maxRatio * ratioUnits,
	}
	var n [len(limits)]uint64
	for i, limit := range limits {
		value, size := binary.Uvarint(raw)
		if size <= 0 || value > limit {
			return Report{}, nil, errors.Newf("field %d is truncated or %d exceeds %d", i, value, limit)
		}
		n[i], raw = value, raw[size:]
	}
	if n[4] == 0 {
		return Report{}, nil, errors.New("the limit is 0")
	}
	return Report{
		Server: id, Sequence: uint32(n[0]), Age: time.Duration(n[1]) * time.Millisecond,
		Load: balance.Load{
			Running: int(n[2]), Queued: int(n[3]), Limit: int(n[4]),
			Service: time.Duration(n[5]) * serviceUnit, Idle: time.Duration(n[6]) * time.Millisecond,
			FailureRate: float64(n[7]) / failureUnits, Slowness: float64(n[8]) / ratioUnits, Contention: float64(n[9]) / ratioUnits,
		},
	}, raw, nil
}
