package daemon

import (
	"net"
	"net/netip"

	"github.com/daisygate/daisygate/internal/process/settings"
)

// configured returns the names of the sources in the settings.
func (d *Daemon) configured() []string {
	var names []string
	for _, m := range d.set.Source.Members {
		names = append(names, m.Node)
	}
	return names
}

// sources returns the sources as far as they are known here: on a source those
// that vote, for members may have been replaced since the settings were
// written, else those of the settings.
func (d *Daemon) sources() []settings.Member {
	if d.source == nil {
		return d.set.Source.Members
	}
	names := d.source.Status().Members
	if len(names) == 0 {
		return d.set.Source.Members
	}
	var list []settings.Member
	for _, name := range names {
		if addr, ok := d.memberAddr(name); ok {
			list = append(list, settings.Member{Node: name, Peer: addr})
		}
	}
	return list
}

// otherSources returns the peer addresses of the sources but this one.
func (d *Daemon) otherSources() []string {
	var list []string
	for _, m := range d.sources() {
		if m.Node != d.set.Node {
			list = append(list, m.Peer)
		}
	}
	return list
}

// memberAddr returns the peer address of a source. One that the settings do not
// name is known by its IP number.
func (d *Daemon) memberAddr(node string) (string, bool) {
	for _, m := range d.set.Source.Members {
		if m.Node == node {
			return m.Peer, true
		}
	}
	if _, err := netip.ParseAddr(node); err != nil || !d.set.Source.Join {
		return "", false
	}
	_, port, err := net.SplitHostPort(d.set.Listen.Peer)
	return net.JoinHostPort(node, port), err == nil
}
