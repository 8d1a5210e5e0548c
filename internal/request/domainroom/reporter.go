package domainroom

import (
	"math"
	"slices"
	"time"
)

const (
	// ReportInterval is the time between two observations of the rooms of the own domain.
	ReportInterval = 500 * time.Millisecond
	// heartbeatInterval is the time after which a report is sent even if nothing has changed. It is
	// less than MaxAge; a lost heartbeat is made up for by that of the domain's other reporter.
	heartbeatInterval = 2 * ReportInterval
	// changeToReport is the change of the requests in progress, in parts of the slots, that is
	// reported before that. Below quietBelow, a domain has room whatever the changes.
	changeToReport = 0.05
	quietBelow     = 0.4
	// trendWeight is the weight of the last interval in the trend.
	trendWeight = 0.5
)

// Reporter turns observations of the rooms of one failure domain into reports. It is not safe for
// concurrent use.
type Reporter struct {
	domain, name string
	boot, seq    uint64
	last         map[ServiceID]Room
	lastAt       time.Time
	// sent holds the rooms of the last report.
	sent   map[ServiceID]Room
	sentAt time.Time
}

// NewReporter returns the reporter of a daemon; boot identifies the start of its process and is
// larger than those of earlier starts.
func NewReporter(domain, name string, boot uint64) *Reporter {
	return &Reporter{domain: domain, name: name, boot: boot}
}

// Observe records the rooms of the domain, without trends, and returns the report to send. due is
// false if nothing has to be sent. A reporter that stands by sends heartbeats only.
func (r *Reporter) Observe(now time.Time, rooms map[ServiceID]Room, standby bool) (_ Report, due bool) {
	elapsed := now.Sub(r.lastAt)
	for id, room := range rooms {
		if last, known := r.last[id]; known && elapsed > 0 && elapsed <= MaxAge {
			change := (room.Running + room.Waiting - last.Running - last.Waiting) / elapsed.Seconds()
			room.Trend = last.Trend + trendWeight*(change-last.Trend)
			rooms[id] = room
		}
	}
	r.last, r.lastAt = rooms, now
	if len(rooms) == 0 || now.Sub(r.sentAt) < heartbeatInterval && (standby || !r.changed(rooms)) {
		return Report{}, false
	}
	r.seq++
	r.sent, r.sentAt = rooms, now
	return Report{Domain: r.domain, From: r.name, Boot: r.boot, Seq: r.seq, Rooms: rooms}, true
}

func (r *Reporter) changed(rooms map[ServiceID]Room) bool {
	for id, room := range rooms {
		sent, known := r.sent[id]
		quiet := max(room.Running+room.Waiting, sent.Running+sent.Waiting) < quietBelow*room.Slots
		change := math.Abs(room.Running + room.Waiting - sent.Running - sent.Waiting)
		switch {
		case !known, room.Slots != sent.Slots && !quiet, !slices.Equal(room.To, sent.To):
			return true
		case !quiet && change >= changeToReport*max(room.Slots, 1):
			return true
		}
	}
	return len(rooms) != len(r.sent)
}
