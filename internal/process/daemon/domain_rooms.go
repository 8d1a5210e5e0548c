package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/connection/gateway"
	"github.com/daisygate/daisygate/internal/request/allowance"
	"github.com/daisygate/daisygate/internal/request/domainroom"
	"github.com/daisygate/daisygate/internal/version/directory"
)

const (
	roomReport = "Room.Report"
	// roomTickInterval is the time between two checks whether this daemon was suspended.
	roomTickInterval = 100 * time.Millisecond
	// roomTimeout is the timeout of a report; the next one replaces it.
	roomTimeout = 400 * time.Millisecond
	// roomAvoidance is how long a daemon that did not answer a report is passed over.
	roomAvoidance = 2 * time.Second
	// reportersPerDomain is the number of daemons of a domain that report its room.
	reportersPerDomain = 2
	notReporter        = -1
)

// domainRooms drives the reports on the room of failure domains (package domainroom).
type domainRooms struct {
	d        *Daemon
	reporter *domainroom.Reporter
	sending  sync.WaitGroup

	mu sync.Mutex
	// placed is the directory from which the roles were selected. rank is the place of this daemon
	// among the reporters of its domain, or notReporter; all but the first stand by. receivers holds,
	// for each other domain, the daemons that receive the reports of this one, best first.
	placed    *directory.Directory
	rank      int
	receivers [][]allowance.Daemon
	avoided   map[string]time.Time
}

func newDomainRooms(d *Daemon) *domainRooms {
	return &domainRooms{
		d: d, rank: notReporter, avoided: map[string]time.Time{},
		reporter: domainroom.NewReporter(d.settings.Domain, d.settings.Node, d.incarnation),
	}
}

// run reports the room of this daemon's domain, if that is its role, until ctx ends.
func (r *domainRooms) run(ctx context.Context) {
	ticker := time.NewTicker(roomTickInterval)
	defer ticker.Stop()
	var observed time.Time
	defer r.sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.d.gateway.TickRooms()
		now := time.Now()
		if now.Sub(observed) < domainroom.ReportInterval {
			continue
		}
		observed = now
		if receivers, rank := r.place(now); rank != notReporter {
			r.report(ctx, now, receivers, rank > 0)
		}
	}
}

// place selects the roles from the current directory and returns the receivers of this daemon's
// reports, one for each other domain.
func (r *domainRooms) place(now time.Time) (receivers []allowance.Daemon, rank int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if dir := r.d.mesh.Directory(); dir != r.placed {
		r.placed = dir
		r.receivers, r.rank = nil, notReporter
		maps.DeleteFunc(r.avoided, func(_ string, until time.Time) bool { return !now.Before(until) })
		if gateway.SharesLoad(dir.Snapshot) {
			r.receivers, r.rank = roomRoles(r.d.settings.Node, r.d.settings.Domain, liveDaemons(dir, r.d.settings.Region))
		}
	}
	for _, candidates := range r.receivers {
		receivers = append(receivers, r.reachable(now, candidates))
	}
	return receivers, r.rank
}

// reachable returns the first candidate that is not passed over, or the first one if all are. The
// caller holds r.mu.
func (r *domainRooms) reachable(now time.Time, candidates []allowance.Daemon) allowance.Daemon {
	for _, c := range candidates {
		if !now.Before(r.avoided[c.Name]) {
			delete(r.avoided, c.Name)
			return c
		}
	}
	return candidates[0]
}

// liveDaemons returns the daemons of a region that are not leaving.
func liveDaemons(dir *directory.Directory, region string) []allowance.Daemon {
	all := make([]allowance.Daemon, 0, len(dir.Records))
	for _, record := range dir.Records {
		if !record.Leaving && record.Node.Region == region {
			all = append(all, allowance.Daemon{Name: record.Node.Name, Domain: record.Node.Domain, Addr: record.Node.Addr})
		}
	}
	return all
}

// roomRoles returns the place of a daemon among the reporters of its domain, or notReporter, and to
// which daemons it reports: for each other domain the candidates, best first. The reporters of a domain
// prefer different receivers.
func roomRoles(self, domain string, all []allowance.Daemon) (receivers [][]allowance.Daemon, rank int) {
	byDomain := map[string][]allowance.Daemon{}
	for _, d := range all {
		byDomain[d.Domain] = append(byDomain[d.Domain], d)
	}
	rank = slices.IndexFunc(allowance.CandidatesFor("room", byDomain[domain]), func(d allowance.Daemon) bool { return d.Name == self })
	if rank < 0 || rank >= reportersPerDomain {
		return nil, notReporter
	}
	for name, daemons := range byDomain {
		if name == domain {
			continue
		}
		candidates := allowance.CandidatesFor("room", daemons)
		first := rank % len(candidates)
		receivers = append(receivers, append(slices.Clone(candidates[first:]), candidates[:first]...))
	}
	return receivers, rank
}

// report sends the room of this daemon's domain, if it has changed, to its own gateway and to the
// receivers.
func (r *domainRooms) report(ctx context.Context, now time.Time, receivers []allowance.Daemon, standby bool) {
	report, due := r.reporter.Observe(now, r.d.gateway.DomainRooms(), standby)
	if !due {
		return
	}
	text := domainroom.Format(report)
	r.d.gateway.ReceiveRooms(text, "")
	for _, to := range receivers {
		r.sending.Go(func() { r.send(ctx, to, text) })
	}
}

func (r *domainRooms) send(ctx context.Context, to allowance.Daemon, text string) {
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	if err := r.d.pool.Call(ctx, to.Addr, roomReport, text, &Empty{}); err != nil {
		r.d.log.V(1).Info("room of the failure domain not delivered", "to", to.Name, "error", err.Error())
		r.mu.Lock()
		defer r.mu.Unlock()
		r.avoided[to.Name] = time.Now().Add(roomAvoidance)
	}
}

// roomService handles the reports of other failure domains.
type roomService struct{ d *Daemon }

// Report records the room of another failure domain.
func (s *roomService) Report(text string, _ *Empty) error {
	s.d.gateway.ReceiveRooms(text, "")
	return nil
}
