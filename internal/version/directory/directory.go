// Package directory combines the configuration version in force with the presence
// records of backend servers into a list of available backend servers per service.
// A Directory is immutable; a daemon replaces it by swapping one pointer.
package directory

import (
	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// Candidate is a backend server that may be selected for a request.
type Candidate struct {
	// Node is the daemon that the server is announced to.
	Node   view.Node
	Server presence.Server
}

// Directory lists the available backend servers of each service, for one
// configuration version and one set of presence records.
type Directory struct {
	Snapshot *snapshot.Snapshot
	// Records are the presence records of live daemons, in unspecified order. They
	// must not be modified.
	Records    []*presence.Record
	candidates map[snapshot.ServiceKey][]*Candidate
	suspects   map[uint64]presence.Suspect
}

// Build returns the directory for a configuration version and presence records.
func Build(snap *snapshot.Snapshot, records []presence.Record) *Directory {
	pointers := make([]*presence.Record, len(records))
	for i := range records {
		pointers[i] = &records[i]
	}
	return NewBuilder(snap, pointers).Build(pointers)
}

// Suspect returns the entry of a request that was in progress when backend servers
// crashed, merged from all daemons: the sum of the crashes and the latest Until. The
// caller must compare Until with its clock.
func (d *Directory) Suspect(fingerprint uint64) (presence.Suspect, bool) {
	s, found := d.suspects[fingerprint]
	return s, found
}

// Servers returns the number of available backend servers per service of a mesh.
func (d *Directory) Servers(mesh string) map[string]int {
	counts := map[string]int{}
	for key, list := range d.candidates {
		if key.Mesh == mesh {
			counts[key.Name] = len(list)
		}
	}
	return counts
}

// CountServers returns the number of available backend servers of a mesh.
func (d *Directory) CountServers(mesh string) int {
	n := 0
	for key, list := range d.candidates {
		if key.Mesh == mesh {
			n += len(list)
		}
	}
	return n
}

// Candidates returns the available backend servers of a service, sorted by daemon
// and address. The slice is shared and must not be modified.
func (d *Directory) Candidates(k snapshot.ServiceKey) []*Candidate { return d.candidates[k] }
