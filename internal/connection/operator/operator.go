// Package operator is the operators' HTTP API and its client: manifests in;
// status, history, the manifest in force and drains out.
//
// Every answer carries a numbered result code (package result), successes too.
package operator

import (
	"context"

	"github.com/daisygate/daisygate/internal/process/mesh"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// The paths of the API.
const (
	ManifestsPath = "/v1/manifests"
	StatusPath    = "/v1/status"
	FleetPath     = "/v1/fleet"
	HistoryPath   = "/v1/history"
	// MetricsPath is where the metrics are, in the Prometheus text format.
	MetricsPath = "/metrics"
	DrainPath   = "/v1/drain"
	// RolloutsPath takes orders for roll-outs and tells of the newest one of a service.
	RolloutsPath = "/v1/rollouts"
)

// The parameters of requests.
const (
	// allParameter asks FleetPath for every daemon of a large fleet, by "true".
	allParameter = "all"
	// meshParameter and limitParameter are those of a HistoryRequest.
	meshParameter = "mesh"
	// serviceParameter names the service of a roll-out.
	serviceParameter = "service"
	limitParameter   = "limit"
)

// NodeStatus is what one daemon tells of itself.
type NodeStatus struct {
	Node   string         `json:"node"`
	Domain string         `json:"domain"`
	Ready  bool           `json:"ready"`
	Mesh   mesh.Status    `json:"mesh"`
	Source *source.Status `json:"source,omitempty"`
	// ControlSent and ControlReceived are bytes since the start.
	ControlSent     uint64 `json:"control_sent"`
	ControlReceived uint64 `json:"control_received"`
	// ControlMessages are the control messages sent since the start.
	ControlMessages uint64 `json:"control_messages"`
}

// Fleet is what is in force where, as one daemon sees it.
type Fleet struct {
	// Daemons is the number of daemons known.
	Daemons int `json:"daemons"`
	// InForce counts the daemons that have the leader's version, added up along
	// the tree that versions spread by.
	InForce mesh.InForce `json:"in_force"`
	// Complete tells that Nodes lists every daemon, each asked just now. Else
	// it lists the sources, the answering daemon and a few that lag.
	Complete bool        `json:"complete"`
	Nodes    []FleetNode `json:"nodes"`
}

// FleetNode is one daemon as seen in the fleet.
type FleetNode struct {
	Node    string `json:"node"`
	Domain  string `json:"domain"`
	Version uint64 `json:"version"`
	Ready   bool   `json:"ready"`
	// Stale is set when the daemon misses the leader's heartbeat.
	Stale bool `json:"stale"`
	// Links is the number of live links to other daemons.
	Links   int           `json:"links"`
	Servers []FleetServer `json:"servers,omitempty"`
	// Source is set on a source.
	Source *source.Status `json:"source,omitempty"`
	// Error is why the daemon gave no version, or "".
	Error string `json:"error,omitempty"`
}

// FleetServer is one backend server as its daemon announces it.
type FleetServer struct {
	Mesh        string `json:"mesh"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// State is "joining", "warming", "serving" or "draining".
	State string `json:"state"`
}

// InForce is the manifest of one mesh that the answering daemon has in force.
type InForce struct {
	Mesh string `json:"mesh"`
	// Version is the operators' number.
	Version uint64 `json:"version"`
	// Fleet is the fleet version that brought the manifest.
	Fleet uint64 `json:"fleet"`
	// Node is the daemon that answered.
	Node string `json:"node"`
	// Manifest is the manifest as YAML, with its defaults filled in.
	Manifest string `json:"manifest"`
}

// DrainRequest names what is to be drained: the backend server at Server, or
// all beside the daemon Node; both empty mean the answering daemon.
type DrainRequest struct {
	Node   string `json:"node,omitempty"`
	Server string `json:"server,omitempty"`
	// Undo ends the drain.
	Undo bool `json:"undo,omitempty"`
}

// DrainStatus tells how far the drain of one daemon has come.
type DrainStatus struct {
	Node string `json:"node"`
	// Draining is set when the whole daemon is drained.
	Draining bool `json:"draining"`
	// Idle is set when nothing that was asked for still runs.
	Idle bool `json:"idle"`
	// Running counts the requests in progress on Servers.
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

// RolloutRequest orders a roll-out, or with Abort the end of the one that runs.
type RolloutRequest struct {
	Mesh    string `json:"mesh"`
	Service string `json:"service"`
	// Target is the software version that is to serve.
	Target string `json:"target,omitempty"`
	// WithinSeconds is the time in which that is to be decided.
	WithinSeconds float64 `json:"within_seconds,omitempty"`
	Abort         bool    `json:"abort,omitempty"`
}

// Name is the service that the request is about.
func (r *RolloutRequest) Name() source.ServiceName {
	return source.ServiceName{Mesh: r.Mesh, Service: r.Service}
}

// Backend is what the API is built on: the daemon. The errors are refusals
// that the operator is told as they are.
type Backend interface {
	Submit(ctx context.Context, m *manifest.Manifest) (source.Answer, error)
	NodeStatus() NodeStatus
	// Fleet asks every daemon of a small fleet; of a large one only with all.
	Fleet(ctx context.Context, all bool) Fleet
	History(ctx context.Context, r source.HistoryRequest) ([]source.Accepted, error)
	InForce(ctx context.Context, mesh string) (InForce, *result.Error)
	// OrderRollout hands an order for a roll-out in, and NewestRollout tells of the newest
	// one of a service.
	OrderRollout(ctx context.Context, o *source.RolloutOrder) (source.Answer, error)
	NewestRollout(ctx context.Context, name source.ServiceName) (source.Answer, error)
	// Drain begins or undoes a drain.
	Drain(ctx context.Context, r DrainRequest) (DrainStatus, *result.Error)
	// DrainStatus tells of the drain that r names, and changes nothing.
	DrainStatus(ctx context.Context, r DrainRequest) (DrainStatus, *result.Error)
}
