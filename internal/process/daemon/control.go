package daemon

import (
	"context"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/mesh"
	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/source"
)

// RPC methods of the control connections between daemons.
const (
	meshDeliver   = "Mesh.Deliver"
	sourceDeliver = "Source.Deliver"
	sourcePropose = "Source.Propose"
	sourceSubmit  = "Source.Submit"
	sourceRead    = "Source.Read"
	nodeStatus    = "Node.Status"
)

// Empty is the argument or reply type of RPC methods without one.
type Empty struct{}

var errNotSource = errors.New("not a source")

func registerControl(server *rpc.Server, d *Daemon) {
	services := map[string]any{"Mesh": &meshService{d}, "Source": &sourceService{d}, "Node": &nodeService{d}, "Claims": &claimsService{d}, "Allowance": &allowanceService{d}, "Room": &roomService{d}}
	for name, service := range services {
		if err := server.RegisterName(name, service); err != nil {
			panic(err)
		}
	}
}

type meshService struct{ d *Daemon }

// Deliver passes an envelope to the mesh.
func (s *meshService) Deliver(e mesh.Envelope, _ *Empty) error {
	s.d.mesh.Deliver(e)
	return nil
}

type sourceService struct{ d *Daemon }

// handle runs method with a timeout. It returns errNotSource if this daemon is not a source.
func (s *sourceService) handle(timeout time.Duration, method func(context.Context) error) error {
	if s.d.source == nil {
		return errNotSource
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return method(ctx)
}

// Deliver accepts replication messages from another source.
func (s *sourceService) Deliver(messages []replica.Message, _ *Empty) error {
	if s.d.source == nil {
		return errNotSource
	}
	s.d.source.Deliver(messages)
	return nil
}

// Propose commits a command that another source forwarded.
func (s *sourceService) Propose(data []byte, reply *quorum.Reply) error {
	return s.handle(submitTimeout, func(ctx context.Context) error {
		*reply = s.d.source.ServeProposal(ctx, data)
		return nil
	})
}

// Submit proposes a manifest.
func (s *sourceService) Submit(o source.Order, answer *source.Answer) error {
	return s.handle(submitTimeout, func(ctx context.Context) (err error) {
		*answer, err = s.d.source.Submit(ctx, &o)
		return err
	})
}

// Read returns the newest manifest of a mesh.
func (s *sourceService) Read(mesh string, answer *source.Answer) error {
	return s.handle(submitTimeout, func(ctx context.Context) (err error) {
		*answer, err = s.d.source.Read(ctx, mesh)
		return err
	})
}

type nodeService struct{ d *Daemon }

// Status returns the status of this daemon.
func (s *nodeService) Status(_ Empty, status *operator.NodeStatus) error {
	*status = s.d.NodeStatus()
	return nil
}

func (d *Daemon) sendItems(ctx context.Context, addr string, items []mesh.Item) error {
	call := d.pool.Call
	if !mesh.RequireLink(items) {
		call = d.pool.CallTransient
	}
	err := call(ctx, addr, meshDeliver, mesh.Envelope{From: d.self.Name, Items: items}, &Empty{})
	if err != nil {
		d.log.V(1).Info("envelope not delivered", "to", addr, "error", err.Error())
		d.mesh.Unreachable(addr)
	}
	return err
}

func (d *Daemon) sendMessages(ctx context.Context, addr string, messages []replica.Message) error {
	return d.pool.Call(ctx, addr, sourceDeliver, messages, &Empty{})
}

// sourceTransport implements quorum.Transport between the sources.
type sourceTransport struct{ d *Daemon }

// Send implements quorum.Transport.
func (t sourceTransport) Send(to string, messages []replica.Message) {
	if addr, ok := t.d.memberAddr(to); ok {
		t.d.messages.Put(addr, messages...)
	}
}

// Propose implements quorum.Transport.
func (t sourceTransport) Propose(ctx context.Context, to string, data []byte) (quorum.Reply, error) {
	addr, ok := t.d.memberAddr(to)
	if !ok {
		return quorum.Reply{}, errors.Newf("no source %s", to)
	}
	var reply quorum.Reply
	err := t.d.pool.Call(ctx, addr, sourcePropose, data, &reply)
	return reply, err
}

// NodeStatus implements operator.Backend.
func (d *Daemon) NodeStatus() operator.NodeStatus {
	status := operator.NodeStatus{
		Node: d.settings.Node, Domain: d.settings.Domain, Ready: d.Ready(), Mesh: d.mesh.Status(),
		ControlSent: d.traffic.Sent.Load(), ControlReceived: d.traffic.Received.Load(),
		ControlMessages: d.traffic.Messages.Load(),
	}
	if d.source != nil {
		s := d.source.Status()
		status.Source = &s
	}
	return status
}
