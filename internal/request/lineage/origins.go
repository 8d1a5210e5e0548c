package lineage

import (
	"math"
	"time"
)

const (
	// minEvenness is the minimum ratio between the requests per instance of the least and
	// the most frequent service for a route to count as called from everywhere.
	minEvenness = 0.2
	// minRequests is the minimum number of requests needed to classify a route.
	minRequests = 30
	// maxRoutes and maxOrigins bound the memory.
	maxRoutes  = 4096
	maxOrigins = 64
)

// Route identifies a route of a mesh.
type Route struct{ Mesh, Name string }

// Origins records from which services' instances the requests on each route come. External
// callers use the instances of every service; the servers of a service only use its own.
// The zero value is empty. It is not safe for concurrent use.
type Origins struct {
	// seen counts recent requests by route and by the service of the instance.
	seen map[Route]map[string]decayingCount
}

// Note records the service at whose instance a request on a route entered.
func (o *Origins) Note(now time.Time, route Route, origin string) {
	services := o.seen[route]
	if services == nil {
		if o.seen == nil || len(o.seen) >= maxRoutes {
			o.seen = map[Route]map[string]decayingCount{}
		}
		services = map[string]decayingCount{}
		o.seen[route] = services
	}
	if c, known := services[origin]; known || len(services) < maxOrigins {
		c.add(now, 1)
		services[origin] = c
	}
}

// IsExternal reports whether requests on a route come from the instances of all services, in
// about equal numbers per instance; instances holds the number of instances by service. If
// so, they are sent by external callers and only a part are calls of backend servers. With
// a single service this cannot be decided, and it reports false.
func (o *Origins) IsExternal(now time.Time, route Route, instances map[string]int) bool {
	if len(instances) < 2 {
		return false
	}
	least, most, all := math.Inf(1), 0.0, 0.0
	for service, n := range instances {
		requests := o.seen[route][service].valueAt(now)
		each := requests / float64(max(n, 1))
		least, most, all = min(least, each), max(most, each), all+requests
	}
	return all >= minRequests && least >= minEvenness*most
}
