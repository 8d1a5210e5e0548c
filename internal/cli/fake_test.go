package cli

import (
	"context"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/mesh"
	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// fakeFleet is the operator backend of a daemon that reports a fixed fleet in
// which some daemons lag permanently.
type fakeFleet struct {
	operator.Backend
	fleet      operator.Fleet
	quarantine operator.QuarantineStatus
}

func (f *fakeFleet) Submit(context.Context, *manifest.Manifest) (source.Answer, error) {
	return source.Answer{Code: result.Accepted, Fleet: 7}, nil
}

func (f *fakeFleet) Fleet(context.Context, bool) operator.Fleet { return f.fleet }

func (f *fakeFleet) NodeStatus() operator.NodeStatus { return operator.NodeStatus{Node: "n1"} }

// Quarantine and Release act on one request.
func (f *fakeFleet) Quarantine() operator.QuarantineStatus { return f.quarantine }

func (f *fakeFleet) Release(r operator.ReleaseRequest) (operator.QuarantineStatus, *result.Error) {
	if r.Fingerprint != f.quarantine.Requests[0].Fingerprint {
		return operator.QuarantineStatus{}, result.Errorf(result.UnknownResource, "no request with the fingerprint %s is suspected", r.Fingerprint)
	}
	f.quarantine.Requests = f.quarantine.Requests[1:]
	return f.quarantine, nil
}

func fakeSource(role, failure string, repair replica.Repair) *source.Status {
	return &source.Status{Version: 7, Status: quorum.Status{Role: role, Term: 2, Commit: 9, Lead: "n1", Failure: failure, Repair: repair}}
}

// cmdFake implements the script commands "fake small" and "fake large", which
// start a fakeFleet and set $FAKE to its operator address.
func cmdFake(ts *testscript.TestScript, _ bool, args []string) {
	fleet := operator.Fleet{Daemons: 8, Complete: true, Nodes: []operator.FleetNode{
		{Node: "n0", Domain: "d1", Version: 7, Links: 2},
		{Node: "n1", Domain: "d1", Version: 7, Ready: true, Links: 4, Source: fakeSource("leader", "", replica.Repair{State: replica.RepairNone})},
		{Node: "n2", Domain: "d2", Version: 7, Ready: true, Links: 4, Source: fakeSource("follower", "disk full", replica.Repair{})},
		{Node: "n3", Domain: "d3", Version: 7, Ready: true, Links: 4, Source: fakeSource("follower", "", replica.Repair{State: replica.RepairLearning, Have: 3, Need: 9})},
		{Node: "n4", Domain: "d1", Version: 6, Ready: true, Links: 4},
		{Node: "n5", Domain: "d2", Version: 5, Links: 3, Stale: true},
		{Node: "n6", Domain: "d3", Version: 4},
		{Node: "n7", Domain: "d3", Error: "dial peer: connection refused"},
	}}
	if args[0] == "large" {
		fleet.Daemons, fleet.Complete, fleet.Nodes = 10000, false, fleet.Nodes[1:6]
		fleet.InForce = mesh.InForce{Version: 7, Count: 9990, Total: 10000, Laggards: []string{"n4", "n5"}}
	}
	quarantine := operator.QuarantineStatus{Requests: []operator.QuarantinedRequest{
		{Fingerprint: "70fbb3e634c96acd", Crashes: 2, Forgotten: time.Unix(1<<31, 0).UTC()},
	}}
	server := httptest.NewServer(operator.Handler(operator.Config{ManifestBytes: 1 << 10}, &fakeFleet{fleet: fleet, quarantine: quarantine}))
	ts.Defer(server.Close)
	ts.Setenv("FAKE", strings.TrimPrefix(server.URL, "http://"))
}
