package mesh

import (
	"time"

	"github.com/daisygate/daisygate/internal/process/spread"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// VersionStatus is what a daemon tells of the version in force.
type VersionStatus struct {
	Version   uint64           `json:"version"`
	Hash      uint64           `json:"hash"`
	Heartbeat spread.Heartbeat `json:"heartbeat"`
	// Stale tells that the leader's heartbeat is missed: newer versions may be
	// in force elsewhere.
	Stale bool `json:"stale"`
	// Confirmed tells that the version is no older than one that this daemon
	// may have had before its start; ConfirmedBy is "quorum", "peers" or
	// "unconfirmed".
	Confirmed   bool   `json:"confirmed"`
	ConfirmedBy string `json:"confirmed_by"`
	// Parent is the daemon that pushes versions here; Depth is the number of
	// hops to the leader.
	Parent string `json:"parent,omitempty"`
	Depth  uint32 `json:"depth"`
	// Diverged counts how often a linked daemon was found with other content
	// under the same version, a fault that must never happen.
	Diverged uint64  `json:"diverged"`
	InForce  InForce `json:"in_force"`
}

// InForce is how far the newest version known at the leader has come.
type InForce struct {
	Version uint64 `json:"version"`
	// Count is the number of daemons at Version or above, by the leader's last
	// heartbeat; Total is the number of daemons in the fleet as known here.
	Count int `json:"count"`
	Total int `json:"total"`
	// All tells that exactly the daemons of the fleet were counted, each once.
	All bool `json:"all"`
	// Laggards names a few of the daemons below Version.
	Laggards []string `json:"laggards,omitempty"`
}

// versions is the part of a Mesh that puts versions in force.
type versions struct {
	diverged uint64
	// sum is spread.NodeHash over the names of the fleet at summed.
	sum    uint64
	summed *directory.Directory
}

// Publish spreads a state that this node learned as a source.
func (m *Mesh) Publish(state *fleet.State) {
	if m.published.Swap(state) != nil {
		return
	}
	m.ops <- func(time.Time) { m.doSpread(m.spread.Publish(m.published.Swap(nil))) }
}

func (m *Mesh) doSpread(actions []spread.Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			m.put(a.Send.To, Item{Spread: &a.Send.Message})
		case a.Install != nil:
			m.current = a.Install
			m.changed = true
			m.log.Info("version in force", "version", a.Install.Version)
			if m.cfg.Installed != nil {
				m.cfg.Installed(a.Install.Version)
			}
		case a.Rejected != nil:
			m.log.Error(a.Rejected, "version not applied")
		case a.Diverged != nil:
			m.reportDiverged(a.Diverged)
		case a.Seek:
			m.log.Info("no heartbeat of a leader: looking for another link")
			m.members.core.Seek()
		}
	}
}

func (m *Mesh) reportDiverged(d *spread.Diverged) {
	m.versions.diverged++
	m.log.Error(nil, "another daemon has other content under the same version; this one keeps its own",
		"node", d.Node, "version", d.Version, "own", d.Own, "other", d.Other)
}

func (m *Mesh) versionStatus(now time.Time) VersionStatus {
	s := VersionStatus{
		Version: m.current.Version, Hash: m.current.Hash, Stale: m.spread.Stale(now),
		Confirmed:   m.spread.Confirmed() != spread.Unconfirmed,
		ConfirmedBy: m.spread.Confirmed().String(),
		Diverged:    m.versions.diverged, InForce: m.inForce(),
	}
	s.Heartbeat, _ = m.spread.Heartbeat()
	s.Parent, s.Depth = m.spread.Parent()
	return s
}

func (m *Mesh) inForce() InForce {
	f := m.spread.InForce()
	total := m.members.core.Presence().Len()
	in := InForce{Version: f.Version, Count: int(f.Count), Total: total, Laggards: f.Laggards}
	in.All = in.Count == total && f.Sum == m.fleetSum()
	return in
}

// fleetSum is what InForce.Sum is when every daemon is counted once.
func (m *Mesh) fleetSum() uint64 {
	d := m.directory.Load()
	if d != nil && d != m.versions.summed {
		m.versions.sum, m.versions.summed = 0, d
		for _, r := range m.members.core.Presence().All() {
			m.versions.sum += spread.NodeHash(r.Node.Name)
		}
	}
	return m.versions.sum
}
