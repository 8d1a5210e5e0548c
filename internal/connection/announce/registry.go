// Package announce takes in the announcements of the backend servers beside
// this daemon. An announcement is a lease: it is renewed before it runs out, or
// the server is gone.
package announce

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/result"
)

// Announcement is the JSON body of a PUT.
type Announcement struct {
	Mesh    string `json:"mesh"`
	Service string `json:"service"`
	// Address is where the backend server listens, "ip:port".
	Address string `json:"address"`
	// Slots is how many requests it runs at a time; at least 1.
	Slots int `json:"slots"`
	// Connections is how many connections it takes; at least 1.
	Connections int `json:"connections"`
	// State is "warming", "serving" or "draining". Default "serving".
	State string `json:"state,omitempty"`
	// LeaseSeconds is how long it stays known without a renewal, 1 to 60.
	// Default 5.
	LeaseSeconds int `json:"lease_seconds,omitempty"`
}

const (
	defaultLease = 5
	maxLease     = 60
)

type lease struct {
	server presence.Server
	until  time.Time
}

// Registry holds the leases. It is not safe for concurrent use and reads no
// clock.
type Registry struct {
	leases map[string]lease
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{leases: map[string]lease{}} }

// Put takes an announcement in and reports whether anything but the lease's
// end changed.
func (r *Registry) Put(now time.Time, a Announcement) (changed bool, err *result.Error) {
	server, seconds, err := a.check()
	if err != nil {
		return false, err
	}
	old, known := r.leases[a.Address]
	server.Since = since(now, old.server, server.State)
	r.leases[a.Address] = lease{server: server, until: now.Add(time.Duration(seconds) * time.Second)}
	return !known || old.server != server, nil
}

// since keeps the time at which a server began to take work over its renewals.
func since(now time.Time, old presence.Server, state presence.ServerState) int64 {
	switch {
	case !state.TakesWork():
		return 0
	case old.State.TakesWork():
		return old.Since
	}
	return now.UnixMilli()
}

func (a *Announcement) check() (presence.Server, int, *result.Error) {
	states := map[string]presence.ServerState{
		"": presence.Serving, "warming": presence.Warming,
		"serving": presence.Serving, "draining": presence.Draining,
	}
	state, known := states[a.State]
	seconds := a.LeaseSeconds
	if seconds == 0 {
		seconds = defaultLease
	}
	server := presence.Server{
		Mesh: a.Mesh, Service: a.Service, Addr: a.Address,
		Slots: a.Slots, Connections: a.Connections, State: state,
	}
	_, addrErr := netip.ParseAddrPort(a.Address)
	switch {
	case a.Mesh == "" || a.Service == "":
		return server, 0, result.Errorf(result.AnnounceInvalid, "mesh and service are required")
	case addrErr != nil:
		return server, 0, result.Errorf(result.AnnounceInvalid, "address: want ip:port, got %q", a.Address)
	case a.Slots < 1 || a.Connections < 1:
		return server, 0, result.Errorf(result.AnnounceInvalid, "slots and connections must be 1 or more")
	case !known:
		return server, 0, result.Errorf(result.AnnounceInvalid, "state: want warming, serving or draining, got %q", a.State)
	case seconds < 1 || seconds > maxLease:
		return server, 0, result.Errorf(result.AnnounceInvalid, "lease_seconds: want 1 to %d, got %d", maxLease, a.LeaseSeconds)
	}
	return server, seconds, nil
}

// Delete withdraws a server and reports whether it was known.
func (r *Registry) Delete(address string) bool {
	_, known := r.leases[address]
	delete(r.leases, address)
	return known
}

// Expire drops leases that ran out and reports whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	expired := false
	for address, l := range r.leases {
		if now.After(l.until) {
			delete(r.leases, address)
			expired = true
		}
	}
	return expired
}

// Servers returns the known servers in order of address.
func (r *Registry) Servers() []presence.Server {
	var servers []presence.Server
	for _, address := range slices.Sorted(maps.Keys(r.leases)) {
		servers = append(servers, r.leases[address].server)
	}
	return servers
}
