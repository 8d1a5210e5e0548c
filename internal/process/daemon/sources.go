package daemon

import (
	"net"
	"net/netip"
	"slices"

	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/process/settings"
)

// configuredSources returns the names of the sources in the settings.
func (d *Daemon) configuredSources() []string {
	var names []string
	for _, m := range d.settings.Source.Members {
		names = append(names, m.Node)
	}
	return names
}

// groupConfig returns what the replicated groups of the sources have in common; dir is the
// group's part of the data folder.
func (d *Daemon) groupConfig(dir string, seed uint64) quorum.Config {
	return quorum.Config{
		ID: d.settings.Node, Members: d.configuredSources(), Dir: d.data.Dir(dir),
		TickInterval: sourceTick, HeartbeatTicks: sourceHeartbeatTicks,
		ElectionTicks: sourceElectionTicks, FirstElectionTicks: sourceFirstTicks,
		Seed: seed, Idempotent: true,
	}
}

// sources returns the sources known to this daemon. On a source these are the voting members,
// because members may have been replaced since the settings were written; elsewhere they are
// the members in the settings.
func (d *Daemon) sources() []settings.Member {
	if d.source == nil {
		return d.settings.Source.Members
	}
	names := d.source.Status().Members
	if len(names) == 0 {
		return d.settings.Source.Members
	}
	var list []settings.Member
	for _, name := range names {
		if addr, ok := d.memberAddr(name); ok {
			list = append(list, settings.Member{Node: name, Peer: addr})
		}
	}
	return list
}

// learnSources records the sources that a source or newer settings named.
func (d *Daemon) learnSources(members []settings.Member) {
	if len(members) > 0 {
		d.learnedSources.Store(&members)
	}
}

// reachableSources returns the sources that this daemon may call: those it learned of last, then
// those in its settings, each address once. The settings may name sources that have been replaced.
func (d *Daemon) reachableSources() []settings.Member {
	var members []settings.Member
	if learned := d.learnedSources.Load(); learned != nil {
		members = append(members, *learned...)
	}
	for _, m := range d.sources() {
		if !slices.ContainsFunc(members, func(o settings.Member) bool { return o.Peer == m.Peer }) {
			members = append(members, m)
		}
	}
	return members
}

// otherSources returns the peer addresses of all sources except this daemon.
func (d *Daemon) otherSources() []string {
	var list []string
	for _, m := range d.sources() {
		if m.Node != d.settings.Node {
			list = append(list, m.Peer)
		}
	}
	return list
}

// memberAddr returns the peer address of a source. If sources may join, the name of a source
// that the settings do not contain is its IP address; its port is this daemon's peer port.
func (d *Daemon) memberAddr(node string) (string, bool) {
	for _, m := range d.settings.Source.Members {
		if m.Node == node {
			return m.Peer, true
		}
	}
	if _, err := netip.ParseAddr(node); err != nil || !d.settings.Source.Join {
		return "", false
	}
	_, port, err := net.SplitHostPort(d.settings.Listen.Peer)
	return net.JoinHostPort(node, port), err == nil
}
