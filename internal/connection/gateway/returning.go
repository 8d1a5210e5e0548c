package gateway

import (
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/request/returning"
)

// identifySender determines who sent the request, and when its caller began if it is no call of a backend
// server.
func (x *exchange) identifySender() {
	x.sender = x.callStatement()
	x.fromCaller = x.organisation != nil || (x.dir.Snapshot.SharesLoad(x.route.Mesh) && !x.sender.mayBeCall())
	if x.fromCaller && x.caller.Left > 0 {
		x.elapsed = x.g.returning.note(x.returningRoute(), x.caller.Left)
	}
}

// recordReturn records that the caller was refused and may come again.
func (x *exchange) recordReturn() {
	if x.fromCaller && x.caller.Left > 0 {
		x.g.returning.recordRefusal(x.returningRoute())
	}
}

func (x *exchange) returningRoute() returningRoute { return returningRoute{x.route.Mesh, x.route.Name} }

// maxReturningRoutes bounds the routes whose time limits are kept.
const maxReturningRoutes = 4096

// returningCallers is returning.Limits by route, with a lock.
type returningCallers struct {
	mu     sync.Mutex
	routes map[returningRoute]*returning.Limits
}

type returningRoute struct{ mesh, name string }

// note records the time limit that a request states, and returns how long before it its caller began.
func (c *returningCallers) note(route returningRoute, limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.routes[route]
	if l == nil {
		if c.routes == nil || len(c.routes) >= maxReturningRoutes {
			c.routes = map[returningRoute]*returning.Limits{}
		}
		l = &returning.Limits{}
		c.routes[route] = l
	}
	l.Note(time.Now(), limit)
	return l.Elapsed(limit)
}

func (c *returningCallers) recordRefusal(route returningRoute) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.routes[route]; l != nil {
		l.Refused(time.Now())
	}
}
