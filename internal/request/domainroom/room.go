// Package domainroom decides which share of the requests of a service is sent to other failure
// domains. It works on the room of each service in each domain, summed over the servers there.
//
// A daemon that knows the servers of its domain reports their room; News keeps the newest report of
// each domain and selects what is passed on. A Planner derives the shares from it and draws for each
// request whether, and to which domain, it crosses.
//
// The package does no I/O, reads no clock and draws no random numbers.
package domainroom

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxAge is the age from which a report counts as unknown.
	MaxAge = 1500 * time.Millisecond
	// maxTrend bounds the trend of a room, in parts of its slots per second.
	maxTrend = 1.0
)

// ServiceID identifies a service of a mesh in reports.
type ServiceID uint32

// IDOf returns the ID of a service.
func IDOf(mesh, service string) ServiceID {
	return ServiceID(xxhash.Sum64String(mesh + "/" + service))
}

// Room is the room of the servers of one service in one failure domain.
type Room struct {
	// Slots is the number of requests that may run at a time. Running and Waiting are the numbers
	// of those that do and of those that wait for a slot.
	Slots, Running, Waiting float64
	// Service is the usual time of a request; 0 if unknown.
	Service time.Duration
	// Trend is the change of Running and Waiting together, per second.
	Trend float64
	// To holds the other domains to which the domain sends requests of the service.
	To []string
}

// occupied returns the requests in progress expected after a time, without the part of the trend
// that exceeds what a report can be trusted with.
func (r *Room) occupied(after time.Duration) float64 {
	trend := min(max(r.Trend, -maxTrend*r.Slots), maxTrend*r.Slots)
	return max(0, r.Running+r.Waiting+trend*after.Seconds())
}

// Observed is a room and when it was observed, on the clock of this daemon.
type Observed struct {
	Domain string
	Room   Room
	At     time.Time
}

// MinCovered is the part of the slots of a domain whose load a daemon must know to use what it measured
// itself rather than the last report.
const MinCovered = 0.5

// Measured returns reported with the room that this daemon measured at a time.
func Measured(now time.Time, reported Observed, room Room) Observed {
	room.Trend, room.To = reported.Room.Trend, reported.Room.To
	return Observed{Domain: reported.Domain, Room: room, At: now}
}

// Report is what one daemon reports about the services of its failure domain.
type Report struct {
	Domain string
	// From is the reporting daemon, Boot the start of its process, and Seq the number of the
	// report since then.
	From      string
	Boot, Seq uint64
	// Age is the time since the rooms were observed.
	Age   time.Duration
	Rooms map[ServiceID]Room
}
