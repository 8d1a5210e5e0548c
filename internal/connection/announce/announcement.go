// Package announce accepts announcements from the backend servers on the same instance as the
// daemon. An announcement is a lease: the server is removed unless it renews the lease before
// it expires. Announcements are not trusted: a server that cannot be reached gets no requests,
// even while its lease is valid.
package announce

import (
	"net/netip"
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/result"
)

// Announcement is the JSON body of a PUT to ServersPath.
type Announcement struct {
	Mesh    string `json:"mesh"`
	Service string `json:"service"`
	// Version is the software version of the server; empty if unknown.
	Version string `json:"version,omitempty"`
	// Address is where the backend server listens, "ip:port".
	Address string `json:"address"`
	// Slots is the number of requests that it runs concurrently, 1 to 100000.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts, 1 to 100000.
	Connections int `json:"connections"`
	// State is "warming", "serving" or "draining". Default "serving".
	State string `json:"state,omitempty"`
	// LeaseSeconds is how long the server remains registered without a renewal, 1 to 60.
	// Default 5.
	LeaseSeconds int `json:"lease_seconds,omitempty"`
	// Boot is the boot ID, which identifies one start of the server; empty if unknown. Further
	// announcements of an earlier boot at the address are ignored.
	Boot string `json:"boot,omitempty"`
	// Started is the start time of the boot in Unix milliseconds; 0 if unknown. A restarted
	// server may reuse its boot ID and restarts its sequence numbers.
	Started int64 `json:"started,omitempty"`
	// Sequence numbers the announcements of a boot; those older than the newest are ignored. 0
	// if unknown.
	Sequence uint64 `json:"sequence,omitempty"`
	// ColdMillis is how much longer the server is slow after its start, in milliseconds.
	ColdMillis int `json:"cold_ms,omitempty"`
	// Inferred is set if the daemon derived the announcement from a response to a health check.
	// Such a response contains neither the start time nor the sequence number.
	Inferred bool `json:"-"`
}

const (
	defaultLeaseSeconds = 5
	maxLeaseSeconds     = 60
	maxNameBytes        = 128
	// MaxCapacity is the largest number of slots and of connections of one server. As a number
	// of connections it means that only the manifest limits them.
	MaxCapacity   = 100000
	maxColdMillis = 3600 * 1000
)

// parseState parses the state in an announcement.
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

// leaving reports whether the announcement states that the server accepts no more requests.
func (a *Announcement) leaving() bool {
	state, known := parseState(a.State)
	return known && state == presence.Draining
}

// validate returns the announced server and the duration of its lease.
func (a *Announcement) validate() (presence.Server, time.Duration, *result.Error) {
	state, known := parseState(a.State)
	seconds := a.LeaseSeconds
	if seconds == 0 {
		seconds = defaultLeaseSeconds
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
		return invalid("mesh and service are required, at most %d bytes each", maxNameBytes)
	case addrErr != nil || addr.Port() == 0 || addr.Addr().IsUnspecified():
		return invalid("address: want ip:port, got %q", a.Address)
	case !validCapacity(a.Slots) || !validCapacity(a.Connections):
		return invalid("slots and connections: want 1 to %d, got %d and %d", MaxCapacity, a.Slots, a.Connections)
	case !known:
		return invalid("state: want warming, serving or draining, got %q", a.State)
	case len(a.Boot) > maxNameBytes || len(a.Version) > maxNameBytes:
		return invalid("boot and version: want at most %d bytes each", maxNameBytes)
	case a.Started < 0:
		return invalid("started: want Unix milliseconds, got %d", a.Started)
	case a.ColdMillis < 0 || a.ColdMillis > maxColdMillis:
		return invalid("cold_ms: want 0 to %d, got %d", maxColdMillis, a.ColdMillis)
	case seconds < 1 || seconds > maxLeaseSeconds:
		return invalid("lease_seconds: want 1 to %d, got %d", maxLeaseSeconds, a.LeaseSeconds)
	}
	return server, time.Duration(seconds) * time.Second, nil
}

func validName(s string) bool { return s != "" && len(s) <= maxNameBytes }

func validCapacity(n int) bool { return n >= 1 && n <= MaxCapacity }
