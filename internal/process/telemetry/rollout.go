package telemetry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygate/daisygate/internal/connection/gateway"
	"github.com/daisygate/daisygate/internal/request/canary"
)

// Values of the side label: the version in use before the roll-out and the version that is
// rolled out.
const (
	sideBase   = "base"
	sideTarget = "target"
)

// writeRollout writes this daemon's metrics of one roll-out.
func writeRollout(w io.Writer, t gateway.ServiceTally) {
	labels := fmt.Sprintf("mesh=%q,service=%q", t.Key.Mesh, t.Key.Name)
	metrics.WriteGaugeUint64(w, "daisygate_rollout_number{"+labels+"}", t.Number)
	metrics.WriteGaugeUint64(w, "daisygate_rollout_spent{"+labels+"}", t.Tally.Spent)
	metrics.WriteGaugeUint64(w, "daisygate_rollout_reached{"+labels+"}", t.Tally.Reached)
	writeBool(w, "daisygate_rollout_tripped{"+labels+"}", t.Tripped != "")
	for route, pair := range t.Tally.Routes {
		for side, c := range map[string]canary.Counts{sideBase: pair.Base, sideTarget: pair.Target} {
			sideLabels := fmt.Sprintf("{%s,route=%q,side=%q}", labels, route, side)
			metrics.WriteGaugeUint64(w, "daisygate_rollout_answers"+sideLabels, c.Answers)
			metrics.WriteGaugeUint64(w, "daisygate_rollout_failed"+sideLabels, c.Failed)
			metrics.WriteGaugeFloat64(w, "daisygate_rollout_busy_seconds"+sideLabels, c.Busy.Seconds())
		}
	}
}
