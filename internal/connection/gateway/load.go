package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/request/lineage"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// writeLoad adds the load of a backend server of this instance to a response, and whether
// callers of all services use the request's route.
func (g *Gateway) writeLoad(h http.Header, req *backendRequest) {
	if l, known := g.LocalLoad(req.addr); known {
		fromAllServices := 0
		if req.request.Origin != "" && g.retryTracker.fromAllServices(req.lineageRoute(), g.cfg.Directory()) {
			fromAllServices = 1
		}
		text := fmt.Sprintf("%d,%d,%d,%d,%d,%.2f,%d,%d", l.Running, l.Queued, l.Limit, l.Service.Microseconds(), g.link.inbound.queuedBytes(), l.FailureRate, g.link.outbound.queuedBytes(), fromAllServices)
		if l.RateLimit > 0 {
			text += fmt.Sprintf(",%.3f,%.2f", l.RateLimit, l.Tokens)
		}
		h.Set(headerLoad, text)
	}
}

// minLoadFields is the number of fields that every release sends; older releases send no
// more.
const minLoadFields = 7

// readLoad records the load of a backend server reported by its daemon.
func (x *exchange) readLoad(to *directory.Candidate, h http.Header) {
	var l balance.Load
	var micros int64
	var fromAllServices int
	if n, _ := fmt.Sscanf(h.Get(headerLoad), "%d,%d,%d,%d,%d,%f,%d,%d,%f,%f", &l.Running, &l.Queued, &l.Limit, &micros, &l.Inflow, &l.FailureRate, &l.Outflow, &fromAllServices, &l.RateLimit, &l.Tokens); n < minLoadFields {
		return
	}
	if fromAllServices == 1 {
		x.g.retryTracker.recordReport(lineage.Route{Mesh: x.route.Mesh, Name: x.route.Name})
	}
	l.Service = time.Duration(micros) * time.Microsecond
	x.readSpeed(&l, h)
	x.call.updateLoad(to, l)
}
