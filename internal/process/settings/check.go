package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/daisygate/daisygate/internal/strictyaml"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Bounds of the settings.
const (
	// MaxBytes is the maximum size of a settings file.
	MaxBytes          = 256 << 10
	maxSeeds          = 64
	maxSources        = 7
	maxLogLevel       = 9
	minBytes          = 1 << 10
	maxHeaderBytes    = 16 << 20
	maxSocketBuffer   = 16 << 20
	maxControlBytes   = 1 << 30
	maxConnections    = 1 << 20
	maxQueuePerSlot   = 1000
	minTimeout        = 10 * time.Millisecond
	maxTimeout        = time.Hour
	maxStopTimeout    = 24 * time.Hour
	maxLoggedRequests = 1 << 20
	maxRetrySlack     = 1 << 20
	maxHoldBytes      = 16 << 20
	maxMemoryBytes    = 1 << 40
	maxLinkBytes      = 1 << 40
	minExposure       = 0.001
	maxExposure       = 0.999
	// minRevokeWithin leaves time for several proofs across the depth of the fleet.
	minRevokeWithin = time.Second
	// minLimitWindow is several times as long as it takes to restrict an organisation.
	minLimitWindow = 2 * time.Second
)

// check adds a fault to d for each invalid value in s. Syntax and types are checked by
// strictyaml.
func (s *Settings) check(d *strictyaml.Document) {
	d.Name("node", s.Node)
	if s.Region != "" {
		d.Name("region", s.Region)
	}
	d.Name("domain", s.Domain)
	s.checkListen(d)
	s.checkSeeds(d)
	d.Duration("join_backoff", s.JoinBackoff, minTimeout, maxTimeout)
	s.checkSource(d)
	d.OneOf("log.format", s.Log.Format, LogJSON, LogText)
	strictyaml.Range(d, "log.level", s.Log.Level, 0, maxLogLevel)
	strictyaml.Range(d, "log.requests_per_second", s.Log.RequestsPerSecond, 0, maxLoggedRequests)
	d.Duration("log.repeat_interval", s.Log.RepeatInterval, 0, maxTimeout)
	strictyaml.Range(d, "trace.sample_ratio", s.Trace.SampleRatio, 0, 1)
	s.Limits.check(d)
	d.Duration("stop.leave_delay", s.Stop.LeaveDelay, 0, maxTimeout)
	d.Duration("stop.timeout", s.Stop.Timeout, minTimeout, maxStopTimeout)
	strictyaml.Range(d, "retry.ratio", s.Retry.Ratio, 0, 1)
	strictyaml.Range(d, "retry.slack", s.Retry.Slack, 0, maxRetrySlack)
	strictyaml.Range(d, "servers.hold_bytes", s.Servers.HoldBytes, 0, maxHoldBytes)
	strictyaml.Range(d, "exposure.share", s.Exposure.Share, minExposure, maxExposure)
	strictyaml.Range(d, "exposure.slack", s.Exposure.Slack, 0, maxRetrySlack)
	if s.Organisations.RevokeWithin != 0 {
		d.Duration("organisations.revoke_within", s.Organisations.RevokeWithin, minRevokeWithin, maxTimeout)
	}
	d.Duration("organisations.limit_window", s.Organisations.LimitWindow, minLimitWindow, maxTimeout)
	strictyaml.Range(d, "organisations.limit_slack", s.Organisations.LimitSlack, 0, maxRetrySlack)
	d.Duration("retry.window", s.Retry.Window, minTimeout, maxTimeout)
}

func (s *Settings) checkListen(d *strictyaml.Document) {
	var ports strictyaml.Unique
	listeners := []struct{ key, addr string }{
		{"listen.caller", s.Listen.Caller}, {"listen.announce", s.Listen.Announce},
		{"listen.peer", s.Listen.Peer}, {"listen.operator", s.Listen.Operator},
		{"listen.control", s.Listen.Control}, {"listen.health", s.Listen.Health}, {"listen.metrics", s.Listen.Metrics},
	}
	addrs := map[string]netip.AddrPort{}
	for _, l := range listeners {
		if l.addr == "" && s.isOptional(l.key) {
			continue
		}
		addrs[l.key] = d.AddrPort(l.key, l.addr)
		if addrs[l.key].Port() != 0 {
			ports.Check(d, l.key, l.addr)
		}
	}
	if peer := addrs["listen.peer"]; peer.IsValid() && peer.Addr().IsUnspecified() {
		d.Add("listen.peer", "want the address of this instance, which other daemons dial, got %q", s.Listen.Peer)
	}
	if announce := addrs["listen.announce"]; announce.IsValid() && !announce.Addr().IsLoopback() && !s.Listen.AnnounceRemote {
		d.Add("listen.announce", "want a loopback address such as 127.0.0.1:7001, or set listen.announce_remote: true")
	}
	if operator := addrs["listen.operator"]; operator.IsValid() && !operator.Addr().IsLoopback() && s.Operator.TokenFile == "" {
		d.Add("listen.operator", "want a loopback address such as 127.0.0.1:7003, or set operator.token_file")
	}
}

// isOptional reports whether the listener named by key may be omitted.
func (s *Settings) isOptional(key string) bool {
	switch key {
	case "listen.control", "listen.health", "listen.metrics":
		return true
	case "listen.caller":
		return s.IsSource()
	case "listen.announce":
		return s.IsSource() && !s.IsProxy() || s.Listen.Control != ""
	}
	return false
}

func (s *Settings) checkSeeds(d *strictyaml.Document) {
	d.Count("seeds", len(s.Seeds), maxSeeds)
	var seen strictyaml.Unique
	for i, seed := range s.Seeds {
		key := fmt.Sprintf("seeds[%d]", i)
		d.AddrPort(key, seed)
		seen.Check(d, key, seed)
	}
}

func (s *Settings) checkSource(d *strictyaml.Document) {
	members := s.Source.Members
	d.Count("source.members", len(members), maxSources)
	if !s.Source.Join {
		checkOdd(d, "source.members", len(members))
	}
	if n := s.Source.Voters; n != 0 {
		strictyaml.Range(d, "source.voters", n, 1, maxSources)
		checkOdd(d, "source.voters", n)
	}
	var nodes, peers strictyaml.Unique
	for i, m := range members {
		key := fmt.Sprintf("source.members[%d]", i)
		d.Name(key+".node", m.Node)
		nodes.Check(d, key+".node", m.Node)
		d.AddrPort(key+".peer", m.Peer)
		peers.Check(d, key+".peer", m.Peer)
		if m.Node == s.Node && m.Peer != s.Listen.Peer {
			d.Add(key+".peer", "want listen.peer of this node, %q, got %q", s.Listen.Peer, m.Peer)
		}
	}
	if _, err := netip.ParseAddr(s.Node); s.Source.Join && err != nil {
		d.Add("node", "want the IP address of listen.peer because source.join is set, got %q", s.Node)
	}
	if s.IsSource() && s.DataDir == "" {
		d.Add("data_dir", "is required because node %q is a source", s.Node)
	}
}

// checkOdd adds a fault if n, a number of sources, is even and not 0.
func checkOdd(d *strictyaml.Document, key string, n int) {
	if n != 0 && n%2 == 0 {
		d.Add(key, "want an odd number, such as 3 or 5: %d sources tolerate no more failures than %d", n, n-1)
	}
}

func (l *Limits) check(d *strictyaml.Document) {
	strictyaml.Range(d, "limits.header_bytes", l.HeaderBytes, minBytes, maxHeaderBytes)
	strictyaml.Range(d, "limits.manifest_bytes", l.ManifestBytes, minBytes, manifest.MaxBytes)
	strictyaml.Range(d, "limits.control_bytes", l.ControlBytes, manifest.MaxBytes, maxControlBytes)
	d.Duration("limits.header_timeout", l.HeaderTimeout, minTimeout, maxTimeout)
	d.Duration("limits.idle_timeout", l.IdleTimeout, minTimeout, maxTimeout)
	d.Duration("limits.stall_timeout", l.StallTimeout, minTimeout, maxTimeout)
	strictyaml.Range(d, "limits.caller_connections", l.CallerConnections, 1, maxConnections)
	strictyaml.Range(d, "limits.peer_connections", l.PeerConnections, 1, maxConnections)
	strictyaml.Range(d, "limits.announce_connections", l.AnnounceConnections, 1, maxConnections)
	strictyaml.Range(d, "limits.operator_connections", l.OperatorConnections, 1, maxConnections)
	strictyaml.Range(d, "limits.health_connections", l.HealthConnections, 1, maxConnections)
	strictyaml.Range(d, "limits.header_memory_bytes", l.HeaderMemoryBytes, 0, maxMemoryBytes)
	strictyaml.Range(d, "limits.socket_buffer_bytes", l.SocketBufferBytes, 0, maxSocketBuffer)
	strictyaml.Range(d, "limits.response_memory_bytes", l.ResponseMemoryBytes, 0, maxMemoryBytes)
	strictyaml.Range(d, "limits.order_memory_bytes", l.OrderMemoryBytes, 0, maxMemoryBytes)
	strictyaml.Range(d, "limits.uploads", l.Uploads, 0, maxConnections)
	strictyaml.Range(d, "limits.queue_per_slot", l.QueuePerSlot, 0, maxQueuePerSlot)
	strictyaml.Range(d, "limits.link_bytes", l.LinkBytes, 0, maxLinkBytes)
	strictyaml.Range(d, "limits.memory_bytes", l.MemoryBytes, 0, maxMemoryBytes)
}
