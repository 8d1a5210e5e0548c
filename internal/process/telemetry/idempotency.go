package telemetry

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// IdempotencyState is the state of idempotency keys and of suspects, which are requests
// suspected of crashing backend servers.
type IdempotencyState struct {
	// Waiting is the number of claimed requests that have ended but whose end is not yet
	// recorded at the sources.
	Waiting int
	// Suspects is the number of requests, known in the whole fleet, that are run alone on
	// a server or refused.
	Suspects int
	// Table is nil on a daemon that is not a source.
	Table *ClaimTableState
}

// ClaimTableState is the state of the claim table of a source.
type ClaimTableState struct {
	Claims, Limit int
	AnswerBytes   int
	Syncs         uint64
	LogBytes      int64
	Failed        bool
}

func (s *IdempotencyState) write(w io.Writer) {
	metrics.WriteGaugeUint64(w, "daisygate_claim_ends_waiting", uint64(s.Waiting))
	metrics.WriteGaugeUint64(w, "daisygate_suspects_known", uint64(s.Suspects))
	if t := s.Table; t != nil {
		metrics.WriteGaugeUint64(w, "daisygate_claims_held", uint64(t.Claims))
		metrics.WriteGaugeUint64(w, "daisygate_claims_limit", uint64(t.Limit))
		metrics.WriteGaugeUint64(w, "daisygate_claim_answer_bytes", uint64(t.AnswerBytes))
		metrics.WriteCounterUint64(w, "daisygate_claim_syncs_total", t.Syncs)
		metrics.WriteGaugeUint64(w, "daisygate_claim_log_bytes", uint64(t.LogBytes))
		writeBool(w, "daisygate_claims_failed", t.Failed)
	}
}
