package daemon

import (
	"net/netip"
	"time"

	"github.com/daisygate/daisygate/internal/connection/announce"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// Log messages about announcements.
const (
	logAnnouncementRefused = "announcement refused"
	logAnnouncementIgnored = "announcement ignored"
	logAnnouncementApplied = "announcement changed a backend server"
	logServerEnded         = "backend server deregistered"
	logBootMismatch        = "response from a boot other than the announced one"
	logOrigin              = "service recorded as the origin of requests that start at this instance"
)

// checkAnnouncement rejects, on a platform, an announcement that does not match the backend
// server named in the settings. If the settings name none, the announced service must be in a
// manifest that is in force.
func (d *Daemon) checkAnnouncement(a *announce.Announcement) *result.Error {
	if d.platform == nil {
		return nil
	}
	want := d.configuredServer.Load()
	key := snapshot.ServiceKey{Mesh: a.Mesh, Name: a.Service}
	switch {
	case want.Addr != "" && !sameAddr(a.Address, want.Addr):
		return result.Errorf(result.AnnounceForeign, "address: the settings place the local backend server at %s, got %s", want.Addr, a.Address)
	case want.Service != "" && key != snapshot.ServiceKey{Mesh: want.Mesh, Name: want.Service}:
		return result.Errorf(result.AnnounceForeign, "service: the settings name service %s for the local backend server, got %s", want.Service, a.Service)
	case want.Service == "" && d.Ready() && d.Directory().Snapshot.Service(key) == nil:
		return result.Errorf(result.AnnounceForeign, "service: no manifest in force contains %s", key)
	}
	return nil
}

// sameAddr reports whether a and b denote the same "ip:port". An IPv4 address equals its
// IPv4-mapped IPv6 form.
func sameAddr(a, b string) bool {
	x, err := netip.ParseAddrPort(a)
	if err != nil {
		return a == b
	}
	y, err := netip.ParseAddrPort(b)
	return err == nil && x.Port() == y.Port() && x.Addr().Unmap() == y.Addr().Unmap()
}

// handleBootMismatch records that a different boot than the announced one answered at the
// address of a local backend server.
func (d *Daemon) handleBootMismatch(addr, boot string) {
	d.log.Info(logBootMismatch, "server", addr, "boot", boot)
	d.servers.RecordMisdirected(addr, boot)
}

// observeAnnouncement counts an announcement by its verdict and logs it unless it only renewed a
// lease.
func (d *Daemon) observeAnnouncement(a *announce.Announcement, v announce.Verdict, refused *result.Error) {
	d.metrics.CountAnnouncement(v.String())
	values := []any{
		"server", a.Address, "service", a.Service, "boot", a.Boot, "started", a.Started,
		"sequence", a.Sequence, "state", a.State, "by", announcedBy(a), "process_age", d.age(),
	}
	switch {
	case refused != nil:
		d.log.Info(logAnnouncementRefused, append(values, "result", refused.Code.String(), "detail", refused.Detail)...)
	case v.Ignored():
		d.log.Info(logAnnouncementIgnored, append(values, "why", v.String())...)
	case v == announce.Changed:
		d.log.Info(logAnnouncementApplied, values...)
	}
}

// announcedBy returns where an announcement came from, for logs.
func announcedBy(a *announce.Announcement) string {
	if a.Inferred {
		return "health check"
	}
	return "server"
}

// observeEnd counts and logs the deregistration of a boot. registered is false if the daemon
// did not know the boot, for example because it was restarted since.
func (d *Daemon) observeEnd(boot string, started int64, registered bool) {
	d.metrics.CountDeregistration(registered)
	d.log.Info(logServerEnded, "boot", boot, "started", started, "registered", registered, "process_age", d.age())
}

// age returns the time since the start of this process, for logs.
func (d *Daemon) age() string { return time.Since(d.started).Round(time.Millisecond).String() }

// logOriginChange logs each change of the service that is recorded as the origin of requests
// that start at this instance, and whether the settings or an announcement named it. The
// caller must hold d.drains.mu.
func (d *Daemon) logOriginChange() {
	service, by := d.origin(), "announcement"
	if d.configuredServer.Load().Service != "" {
		by = "settings"
	}
	if service == d.drains.origin {
		return
	}
	d.log.Info(logOrigin, "service", service, "before", d.drains.origin, "named_by", by)
	d.drains.origin = service
}
