package telemetry

import (
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygate/daisygate/internal/connection/gateway"
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
	// Quarantine counts the decisions of this daemon about suspects.
	Quarantine gateway.QuarantineCounters
	// Table is nil on a daemon that is not a source.
	Table *ClaimTableState
}

// ClaimTableState is the state of the claim table of a source.
type ClaimTableState struct {
	Claims, Limit int
	AnswerBytes   int
	Syncs         uint64
	LogBytes      int64
	// Failed is true while this source takes no part in the group of the table.
	// StorageFailures is the number of times that it stopped because of its disk.
	Failed          bool
	StorageFailures uint64
}

func (s *IdempotencyState) write(w io.Writer) {
	metrics.WriteGaugeUint64(w, "daisygate_claim_ends_waiting", uint64(s.Waiting))
	metrics.WriteGaugeUint64(w, "daisygate_suspects_known", uint64(s.Suspects))
	q := &s.Quarantine
	metrics.WriteCounterUint64(w, "daisygate_backend_crashes_total", q.Crashes)
	metrics.WriteCounterUint64(w, "daisygate_suspects_total", q.Suspected)
	metrics.WriteCounterUint64(w, "daisygate_suspects_proven_total", q.Proven)
	metrics.WriteCounterUint64(w, "daisygate_suspects_cleared_total", q.Cleared)
	metrics.WriteCounterUint64(w, "daisygate_suspects_evicted_total", q.Evicted)
	metrics.WriteCounterUint64(w, "daisygate_quarantine_refusals_total", q.Refused)
	metrics.WriteCounterUint64(w, `daisygate_quarantine_trials_total{why="excused"}`, q.Excused)
	metrics.WriteCounterUint64(w, `daisygate_quarantine_trials_total{why="lapsed"}`, q.Lapsed)
	if t := s.Table; t != nil {
		metrics.WriteGaugeUint64(w, "daisygate_claims_held", uint64(t.Claims))
		metrics.WriteGaugeUint64(w, "daisygate_claims_limit", uint64(t.Limit))
		metrics.WriteGaugeUint64(w, "daisygate_claim_answer_bytes", uint64(t.AnswerBytes))
		metrics.WriteCounterUint64(w, "daisygate_claim_syncs_total", t.Syncs)
		metrics.WriteGaugeUint64(w, "daisygate_claim_log_bytes", uint64(t.LogBytes))
		writeBool(w, "daisygate_claims_failed", t.Failed)
		metrics.WriteCounterUint64(w, "daisygate_claims_storage_failures_total", t.StorageFailures)
	}
}
