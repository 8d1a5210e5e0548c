// Package announce takes in the announcements of the backend servers beside
// this daemon. An announcement is a lease: it is renewed before it runs out, or
// the server is gone. What a server says of itself is not taken on trust: one
// that cannot be reached gets no work, though its lease runs.
package announce

import (
	"net/netip"
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/result"
)

// Announcement is the JSON body of a PUT.
type Announcement struct {
	Mesh    string `json:"mesh"`
	Service string `json:"service"`
	// Version names the server's software; empty if it does not tell.
	Version string `json:"version,omitempty"`
	// Address is where the backend server listens, "ip:port".
	Address string `json:"address"`
	// Slots is how many requests it runs at a time, 1 to 100000.
	Slots int `json:"slots"`
	// Connections is how many connections it takes, 1 to 100000.
	Connections int `json:"connections"`
	// State is "warming", "serving" or "draining". Default "serving".
	State string `json:"state,omitempty"`
	// LeaseSeconds is how long it stays known without a renewal, 1 to 60.
	// Default 5.
	LeaseSeconds int `json:"lease_seconds,omitempty"`
	// Boot names one start of the server; empty if it does not tell. What an
	// earlier boot at the address still says is passed over.
	Boot string `json:"boot,omitempty"`
	// Started is when the boot began, in Unix milliseconds; 0 does not tell. A server
	// may start again under the same name, and its counts begin anew.
	Started int64 `json:"started,omitempty"`
	// Sequence counts the announcements of a boot; an older one than the newest
	// is passed over. 0 does not tell.
	Sequence uint64 `json:"sequence,omitempty"`
	// ColdMillis is how much longer the server works slowly after its start.
	ColdMillis int `json:"cold_ms,omitempty"`
}

const (
	defaultLease = 5
	maxLease     = 60
	maxName      = 128
	// MaxCapacity is the most slots and connections of one server; as its
	// connections it stands for no bound but the manifest's.
	MaxCapacity   = 100000
	maxColdMillis = 3600 * 1000
)

// parseState reads a state as announced.
func parseState(text string) (state presence.ServerState, ok bool) {
	switch text {
	case "", "serving":
		return presence.Serving, true
	case "warming":
		return presence.Warming, true
	case "draining":
		return presence.Draining, true
	}
	return 0, false
}

// check returns the server and the length of its lease.
func (a *Announcement) check() (presence.Server, time.Duration, *result.Error) {
	state, known := parseState(a.State)
	seconds := a.LeaseSeconds
	if seconds == 0 {
		seconds = defaultLease
	}
	server := presence.Server{
		Mesh: a.Mesh, Service: a.Service, Version: a.Version, Addr: a.Address,
		Slots: a.Slots, Connections: a.Connections, State: state, Boot: a.Boot, Started: a.Started,
	}
	addr, addrErr := netip.ParseAddrPort(a.Address)
	invalid := func(format string, args ...any) (presence.Server, time.Duration, *result.Error) {
		return server, 0, result.Errorf(result.AnnounceInvalid, format, args...)
	}
	switch {
	case !validName(a.Mesh) || !validName(a.Service):
		return invalid("mesh and service are required, at most %d bytes each", maxName)
	case addrErr != nil || addr.Port() == 0 || addr.Addr().IsUnspecified():
		return invalid("address: want ip:port, got %q", a.Address)
	case !validCapacity(a.Slots) || !validCapacity(a.Connections):
		return invalid("slots and connections: want 1 to %d, got %d and %d", MaxCapacity, a.Slots, a.Connections)
	case !known:
		return invalid("state: want warming, serving or draining, got %q", a.State)
	case len(a.Boot) > maxName || len(a.Version) > maxName:
		return invalid("boot and version: want at most %d bytes each", maxName)
	case a.Started < 0:
		return invalid("started: want Unix milliseconds, got %d", a.Started)
	case a.ColdMillis < 0 || a.ColdMillis > maxColdMillis:
		return invalid("cold_ms: want 0 to %d, got %d", maxColdMillis, a.ColdMillis)
	case seconds < 1 || seconds > maxLease:
		return invalid("lease_seconds: want 1 to %d, got %d", maxLease, a.LeaseSeconds)
	}
	return server, time.Duration(seconds) * time.Second, nil
}

func validName(s string) bool { return s != "" && len(s) <= maxName }

func validCapacity(n int) bool { return n >= 1 && n <= MaxCapacity }
