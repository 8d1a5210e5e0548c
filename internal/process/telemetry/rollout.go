package telemetry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygate/daisygate/internal/connection/gateway"
	"github.com/daisygate/daisygate/internal/request/canary"
)

// The values of the side label: the version before, and the one under roll-out.
const (
	sideBase   = "base"
	sideTarget = "target"
)

// writeRollout tells what this daemon has met of one roll-out.
func writeRollout(w io.Writer, t gateway.ServiceTally) {
	label := fmt.Sprintf("mesh=%q,service=%q", t.Key.Mesh, t.Key.Name)
	metrics.WriteGaugeUint64(w, "daisygate_rollout_number{"+label+"}", t.Number)
	metrics.WriteGaugeUint64(w, "daisygate_rollout_spent{"+label+"}", t.Tally.Spent)
	metrics.WriteGaugeUint64(w, "daisygate_rollout_reached{"+label+"}", t.Tally.Reached)
	flag(w, "daisygate_rollout_tripped{"+label+"}", t.Tripped != "")
	for route, pair := range t.Tally.Routes {
		for side, c := range map[string]canary.Counts{sideBase: pair.Base, sideTarget: pair.Target} {
			of := fmt.Sprintf("{%s,route=%q,side=%q}", label, route, side)
			metrics.WriteGaugeUint64(w, "daisygate_rollout_answers"+of, c.Answers)
			metrics.WriteGaugeUint64(w, "daisygate_rollout_failed"+of, c.Failed)
			metrics.WriteGaugeFloat64(w, "daisygate_rollout_busy_seconds"+of, c.Busy.Seconds())
		}
	}
}
