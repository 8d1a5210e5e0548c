package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// tellLoad puts the load of a backend server beside this daemon into an answer.
func (g *Gateway) tellLoad(h http.Header, addr string) {
	if l, known := g.LocalLoad(addr); known {
		h.Set(headerLoad, fmt.Sprintf("%d,%d,%d,%d,%d,%.2f,%d", l.Running, l.Queued, l.Limit, l.Service.Microseconds(), g.link.in.ahead(), l.Failing, g.link.out.ahead()))
	}
}

// hearLoad takes in what the daemon beside a backend server told of its load.
func (x *exchange) hearLoad(to *directory.Candidate, h http.Header) {
	var l balance.Load
	var micros int64
	if n, err := fmt.Sscanf(h.Get(headerLoad), "%d,%d,%d,%d,%d,%f,%d", &l.Running, &l.Queued, &l.Limit, &micros, &l.Inflow, &l.Failing, &l.Outflow); n < 7 || err != nil {
		return
	}
	l.Service = time.Duration(micros) * time.Microsecond
	x.course.told(to, l)
}
