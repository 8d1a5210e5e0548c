package telemetry

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// OnceState is what a daemon tells of idempotency keys and of suspects.
type OnceState struct {
	// Waiting counts ends of claimed requests that are not recorded yet.
	Waiting int
	// Suspects counts the requests of the fleet that run alone or are refused.
	Suspects int
	// Table is nil on a daemon that is no source.
	Table *ClaimTableState
}

// ClaimTableState is the table of claims on a source.
type ClaimTableState struct {
	Claims, Limit int
	AnswerBytes   int
	Syncs         uint64
	LogBytes      int64
	Failed        bool
}

func (s *OnceState) write(w io.Writer) {
	metrics.WriteGaugeUint64(w, "daisygate_claim_ends_waiting", uint64(s.Waiting))
	metrics.WriteGaugeUint64(w, "daisygate_suspects_known", uint64(s.Suspects))
	if t := s.Table; t != nil {
		metrics.WriteGaugeUint64(w, "daisygate_claims_held", uint64(t.Claims))
		metrics.WriteGaugeUint64(w, "daisygate_claims_limit", uint64(t.Limit))
		metrics.WriteGaugeUint64(w, "daisygate_claim_answer_bytes", uint64(t.AnswerBytes))
		metrics.WriteCounterUint64(w, "daisygate_claim_syncs_total", t.Syncs)
		metrics.WriteGaugeUint64(w, "daisygate_claim_log_bytes", uint64(t.LogBytes))
		flag(w, "daisygate_claims_failed", t.Failed)
	}
}
