package gateway

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/request/speed"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// logStatementsUntrusted is the log message about statements of a contention that measured times
// contradict.
const logStatementsUntrusted = "contention stated by a backend server contradicts measured times"

// shareLoad sets whether the gate estimates the speed of its server.
func (g *gate) shareLoad(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !on:
		g.speed = nil
		g.core.SetTimes(nil)
	case g.speed == nil:
		g.speed = speed.NewServer(time.Now())
		g.core.SetTimes(g.speed)
	}
}

// beginMeasurement records the usual time of a request that is sent to the server now, and returns
// the contention expected for it.
func (g *gate) beginMeasurement(req *backendRequest) speed.Prediction {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.speed == nil {
		return speed.Prediction{}
	}
	now := time.Now()
	g.speed.Tell(now, req.route, req.kindTime)
	return g.speed.Predict(now)
}

// endMeasurement records the time of a request that the server ran, and the contention that it
// states with the response, 0 for none. It reports whether the measured times have begun to
// contradict the statements.
func (g *gate) endMeasurement(req *backendRequest, predicted speed.Prediction, stated float64) (contradicted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.speed == nil {
		return false
	}
	now := time.Now()
	trusted := g.speed.TrustsStatements()
	g.speed.State(now, stated)
	g.speed.Record(now, predicted, req.route, req.measuredTime)
	return trusted && stated > 0 && !g.speed.TrustsStatements()
}

// observeSpeed adds the estimates to an occupancy. The caller must hold g.mu.
func (g *gate) observeSpeed(o *Occupancy) {
	if g.speed == nil {
		return
	}
	now := time.Now()
	o.Slowness, o.Contention = g.speed.Slowness(now).Factor, g.speed.Contention(now).Factor
	o.TrustsStatements = g.speed.TrustsStatements()
}

// RecordContention records the contention that a boot of the server at an address of this instance
// states other than in a response to a request of the gateway; 0 for none.
func (g *Gateway) RecordContention(addr, boot string, stated float64) {
	b, server := g.backendAt(addr)
	if b == nil || server.Boot != boot {
		return
	}
	b.gate.mu.Lock()
	defer b.gate.mu.Unlock()
	if b.gate.speed != nil {
		b.gate.speed.State(time.Now(), stated)
	}
}

// writeKindTime adds the usual time of the requests on the route to a forwarded request.
func (x *exchange) writeKindTime(h http.Header) {
	if usual := x.call.usualTime(x.route.Name); usual > 0 {
		h[headerKindTime] = []string{formatMicroseconds(usual)}
	}
}

// writeSpeed adds the estimates of a backend server of this instance, and the time it took, to the
// response to a forwarded request.
func (g *Gateway) writeSpeed(h http.Header, req *backendRequest) {
	if !g.sharesLoad(req.request.Mesh) {
		return
	}
	if l, known := g.LocalLoad(req.addr); known {
		h.Set(headerSpeed, fmt.Sprintf("%.3f,%.3f,%d", l.Slowness, l.Contention, req.measuredTime.Microseconds()))
	}
}

// parseSpeed parses headerSpeed and reports whether there is one that can be read.
func parseSpeed(h http.Header) (slowness, contention float64, took time.Duration, ok bool) {
	var micros int64
	n, err := fmt.Sscanf(h.Get(headerSpeed), "%f,%f,%d", &slowness, &contention, &micros)
	const maxMicros = int64(time.Hour / time.Microsecond)
	if n < 3 || err != nil || math.IsNaN(slowness+contention) || slowness < 0 || contention < 0 || micros < 0 || micros > maxMicros {
		return 0, 0, 0, false
	}
	return slowness, contention, time.Duration(micros) * time.Microsecond, true
}

// readSpeed adds the estimates of a server, as reported by its daemon, to its load, and records the
// time that it took.
func (x *exchange) readSpeed(l *balance.Load, h http.Header) {
	if !x.dir.Snapshot.SharesLoad(x.route.Mesh) {
		return
	}
	slowness, contention, took, ok := parseSpeed(h)
	if !ok {
		return
	}
	l.Slowness, l.Contention = slowness, contention
	x.call.recordTime(x.route.Name, took, slowness)
}

// recordLocalSpeed records the time that a server of this instance took.
func (x *exchange) recordLocalSpeed(to *directory.Candidate, req *backendRequest) {
	if req.measuredTime == 0 || !x.dir.Snapshot.SharesLoad(x.route.Mesh) {
		return
	}
	if l, known := x.g.LocalLoad(to.Server.Addr); known {
		x.call.recordTime(x.route.Name, req.measuredTime, l.Slowness)
	}
}

// recordTime records the time that a request took at a server of the given slowness.
func (c *lockedCall) recordTime(kind string, took time.Duration, slowness float64) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.service.core.Table.RecordTime(time.Now(), kind, took, slowness)
}

// usualTime returns the usual time of a kind over all servers of the service; 0 if it is unknown.
func (c *lockedCall) usualTime(kind string) time.Duration {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	return c.service.core.Table.UsualTime(kind)
}
