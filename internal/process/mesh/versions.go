package mesh

import (
	"time"

	"github.com/daisygate/daisygate/internal/process/dissemination"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// VersionStatus is the status of the version in force at a daemon.
type VersionStatus struct {
	Version   uint64                  `json:"version"`
	Hash      uint64                  `json:"hash"`
	Heartbeat dissemination.Heartbeat `json:"heartbeat"`
	// Stale is set while the leader's heartbeat is missing: newer versions may be in force
	// elsewhere.
	Stale bool `json:"stale"`
	// Confirmed is set if the version is not older than any version that this daemon may have
	// had in force before its start. ConfirmedBy is "quorum", "peers" or "unconfirmed".
	Confirmed   bool   `json:"confirmed"`
	ConfirmedBy string `json:"confirmed_by"`
	// Parent is the daemon that pushes versions to this one. Depth is the number of hops to the
	// leader.
	Parent string `json:"parent,omitempty"`
	Depth  uint32 `json:"depth"`
	// Proven is when the version was last proven to be the newest accepted one, as a time
	// since the boot of the instance; 0 means never, or that proofs are turned off.
	Proven time.Duration `json:"proven,omitempty"`
	// Diverged counts how often a linked daemon had different content under the same version.
	// This must never happen.
	Diverged uint64  `json:"diverged"`
	InForce  InForce `json:"in_force"`
}

// InForce is the progress of the newest version known at the leader across the fleet.
type InForce struct {
	Version uint64 `json:"version"`
	// Count is the number of daemons at Version or above as of the leader's last heartbeat.
	// Total is the number of daemons in the fleet as known to this daemon.
	Count int `json:"count"`
	Total int `json:"total"`
	// All is set if exactly the daemons of the fleet were counted, each once.
	All bool `json:"all"`
	// Laggards contains the names of some of the daemons below Version.
	Laggards []string `json:"laggards,omitempty"`
}

// versions is the part of a Mesh that manages versions.
type versions struct {
	diverged uint64
	// fleetHash is the sum of dissemination.NodeHash over the daemons of the fleet, computed when
	// hashedAt was the current directory.
	fleetHash uint64
	hashedAt  *directory.Directory
}

// Publish spreads a state that this node committed as a source. A newer state replaces one that
// is still queued.
func (m *Mesh) Publish(state *fleet.State) {
	if m.unspread.Swap(state) != nil {
		return
	}
	m.ops <- func(time.Time) { m.runSpreadActions(m.spread.InstallFromSource(m.unspread.Swap(nil))) }
}

// runSpreadActions executes the actions of the spread core.
func (m *Mesh) runSpreadActions(actions []dissemination.Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			m.enqueue(a.Send.To, Item{Spread: &a.Send.Message})
		case a.Install != nil:
			m.current = a.Install
			m.changed = true
			m.log.Info("version in force", "version", a.Install.Version)
			if m.cfg.OnInstall != nil {
				m.cfg.OnInstall(a.Install.Version)
			}
		case a.Rejected != nil:
			m.log.Error(a.Rejected, "version not applied")
		case a.Diverged != nil:
			m.reportDiverged(a.Diverged)
		case a.Seek:
			m.log.Info("no leader heartbeat; looking for another link")
			m.members.core.Seek()
		}
	}
}

func (m *Mesh) reportDiverged(d *dissemination.Diverged) {
	m.versions.diverged++
	m.log.Error(nil, "another daemon has different content under the same version; keeping the local content",
		"node", d.Node, "version", d.Version, "own", d.Own, "other", d.Other)
}

func (m *Mesh) versionStatus(now time.Time) VersionStatus {
	s := VersionStatus{
		Version: m.current.Version, Hash: m.current.Hash, Stale: m.spread.Stale(now),
		Confirmed:   m.spread.Confirmed() != dissemination.Unconfirmed,
		ConfirmedBy: m.spread.Confirmed().String(),
		Diverged:    m.versions.diverged, InForce: m.inForce(),
	}
	s.Heartbeat, _ = m.spread.Heartbeat()
	s.Parent, s.Depth = m.spread.Parent()
	s.Proven = m.spread.Proven()
	return s
}

func (m *Mesh) inForce() InForce {
	f := m.spread.InForce()
	total := m.members.core.Presence().Len()
	in := InForce{Version: f.Version, Count: int(f.Count), Total: total, Laggards: f.Laggards}
	in.All = in.Count == total && f.Sum == m.fleetNameHash()
	return in
}

// fleetNameHash returns the value of dissemination.InForce.Sum if every daemon is counted exactly
// once. It is cached per directory.
func (m *Mesh) fleetNameHash() uint64 {
	d := m.directory.Load()
	if d != nil && d != m.versions.hashedAt {
		m.versions.fleetHash, m.versions.hashedAt = 0, d
		for _, r := range m.members.core.Presence().All() {
			m.versions.fleetHash += dissemination.NodeHash(r.Node.Name)
		}
	}
	return m.versions.fleetHash
}
