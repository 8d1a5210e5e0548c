// Package operator provides the HTTP API for operators and its client. The API accepts
// manifests, drains and rollouts, and returns the status, the history and the manifest in
// force.
//
// Every response carries a numbered result code (package result), successful ones too.
package operator

import (
	"context"
	"time"

	"github.com/daisygate/daisygate/internal/process/mesh"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Paths of the API.
const (
	ManifestsPath = "/v1/manifests"
	StatusPath    = "/v1/status"
	FleetPath     = "/v1/fleet"
	HistoryPath   = "/v1/history"
	// MetricsPath serves the metrics in the Prometheus text format.
	MetricsPath = "/metrics"
	DrainPath   = "/v1/drain"
	// RolloutsPath starts and aborts rollouts and returns the newest rollout of a service.
	RolloutsPath = "/v1/rollouts"
	// QuarantinePath returns the requests that crashed backend servers, and releases one of them.
	QuarantinePath = "/v1/quarantine"
)

// Query parameters.
const (
	// allParameter requests every daemon of a large fleet from FleetPath if it is "true".
	allParameter = "all"
	// meshParameter and limitParameter are the parameters of a HistoryRequest.
	meshParameter = "mesh"
	// serviceParameter is the service of a rollout.
	serviceParameter = "service"
	limitParameter   = "limit"
)

// NodeStatus is the status of one daemon.
type NodeStatus struct {
	Node   string         `json:"node"`
	Domain string         `json:"domain"`
	Ready  bool           `json:"ready"`
	Mesh   mesh.Status    `json:"mesh"`
	Source *source.Status `json:"source,omitempty"`
	// ControlSent and ControlReceived count the bytes of control messages since the start of
	// the daemon.
	ControlSent     uint64 `json:"control_sent"`
	ControlReceived uint64 `json:"control_received"`
	// ControlMessages counts the control messages sent since the start of the daemon.
	ControlMessages uint64 `json:"control_messages"`
}

// Fleet is the state of the versions in the fleet, as seen by one daemon.
type Fleet struct {
	// Daemons is the number of known daemons.
	Daemons int `json:"daemons"`
	// InForce counts the daemons that have the leader's version in force. The counts are
	// aggregated along the tree that distributes versions.
	InForce mesh.InForce `json:"in_force"`
	// Complete is set if Nodes contains every daemon, each queried just now. Otherwise it
	// contains the sources, the responding daemon and a few lagging daemons.
	Complete bool        `json:"complete"`
	Nodes    []FleetNode `json:"nodes"`
}

// FleetNode is the state of one daemon in the fleet.
type FleetNode struct {
	Node    string `json:"node"`
	Domain  string `json:"domain"`
	Version uint64 `json:"version"`
	Ready   bool   `json:"ready"`
	// Stale is set if the daemon receives no heartbeat of the leader.
	Stale bool `json:"stale"`
	// Links is the number of live links to other daemons.
	Links   int           `json:"links"`
	Servers []FleetServer `json:"servers,omitempty"`
	// Source is set on a source.
	Source *source.Status `json:"source,omitempty"`
	// Error is the reason why the daemon returned no version, or "".
	Error string `json:"error,omitempty"`
}

// FleetServer is one backend server as announced by its daemon.
type FleetServer struct {
	Mesh        string `json:"mesh"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// State is "joining", "warming", "serving" or "draining".
	State string `json:"state"`
}

// InForce is the manifest of one mesh that is in force on the responding daemon.
type InForce struct {
	Mesh string `json:"mesh"`
	// Version is the version number assigned by the operators.
	Version uint64 `json:"version"`
	// Fleet is the fleet version that contained the manifest.
	Fleet uint64 `json:"fleet"`
	// Node is the daemon that responded.
	Node string `json:"node"`
	// Manifest is the manifest as YAML, with defaults filled in.
	Manifest string `json:"manifest"`
}

// DrainRequest selects what to drain: the backend server at Server, or all backend servers of
// the daemon Node. If both are empty, the daemon that receives the request is selected.
type DrainRequest struct {
	Node   string `json:"node,omitempty"`
	Server string `json:"server,omitempty"`
	// Undo cancels the drain.
	Undo bool `json:"undo,omitempty"`
}

// DrainStatus is the progress of the drain of one daemon.
type DrainStatus struct {
	Node string `json:"node"`
	// Draining is set if the whole daemon is being drained.
	Draining bool `json:"draining"`
	// Idle is set if no requests are running on the selected servers.
	Idle bool `json:"idle"`
	// Running is the number of requests in progress on Servers.
	Running int           `json:"running"`
	Servers []DrainServer `json:"servers,omitempty"`
}

// DrainServer is one backend server in a DrainStatus.
type DrainServer struct {
	Address  string `json:"address"`
	Mesh     string `json:"mesh"`
	Service  string `json:"service"`
	Draining bool   `json:"draining"`
	Running  int    `json:"running"`
}

// RolloutRequest starts a rollout, or aborts the running one if Abort is set.
type RolloutRequest struct {
	Mesh    string `json:"mesh"`
	Service string `json:"service"`
	// Target is the software version to roll out.
	Target string `json:"target,omitempty"`
	// WithinSeconds is the time limit for the decision on the rollout.
	WithinSeconds float64 `json:"within_seconds,omitempty"`
	Abort         bool    `json:"abort,omitempty"`
}

// Name returns the service of the request.
func (r *RolloutRequest) Name() source.ServiceName {
	return source.ServiceName{Mesh: r.Mesh, Service: r.Service}
}

// QuarantinedRequest is a request that crashed a backend server while it ran alone.
type QuarantinedRequest struct {
	// Fingerprint identifies the request as in the logs, in 16 hexadecimal digits.
	Fingerprint string `json:"fingerprint"`
	// Crashes is the number of crashes that are attributed to it.
	Crashes int `json:"crashes"`
	// Forgotten is when the request is forgotten, unless it is sent or crashes a server before.
	Forgotten time.Time `json:"forgotten"`
}

// QuarantineStatus lists the quarantined requests of the fleet.
type QuarantineStatus struct {
	Requests []QuarantinedRequest `json:"requests"`
}

// ReleaseRequest selects the request to release.
type ReleaseRequest struct {
	Fingerprint string `json:"fingerprint"`
}

// Backend is the daemon behind the API. Its errors are refusals that are returned to the
// operator unchanged.
type Backend interface {
	Submit(ctx context.Context, m *manifest.Manifest) (source.Answer, error)
	NodeStatus() NodeStatus
	// Fleet queries every daemon of a small fleet; of a large fleet only with all.
	Fleet(ctx context.Context, all bool) Fleet
	History(ctx context.Context, r source.HistoryRequest) ([]source.HistoryEntry, error)
	InForce(ctx context.Context, mesh string) (InForce, *result.Error)
	// OrderRollout starts or aborts a rollout; NewestRollout returns the newest rollout of a
	// service.
	OrderRollout(ctx context.Context, o *source.RolloutOrder) (source.Answer, error)
	NewestRollout(ctx context.Context, name source.ServiceName) (source.Answer, error)
	// Drain starts or cancels a drain.
	Drain(ctx context.Context, r DrainRequest) (DrainStatus, *result.Error)
	// DrainStatus returns the progress of the drain selected by r, without changing it.
	DrainStatus(ctx context.Context, r DrainRequest) (DrainStatus, *result.Error)
	// Quarantine returns the quarantined requests of the fleet.
	Quarantine() QuarantineStatus
	// Release ends the refusal of a request in the whole fleet, and returns the others.
	Release(r ReleaseRequest) (QuarantineStatus, *result.Error)
}
