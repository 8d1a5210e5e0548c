// Package dev runs a whole mesh on loopback in one process: daemons, of
// which up to five are sources, with stand-in backend servers beside them. It is for trying
// daisygate out and for tests of the command line; the daemons are the real
// ones and speak over real sockets.
package dev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/connection/announce"
	"github.com/daisygate/daisygate/internal/process/daemon"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/standin"
)

// DefaultNodes is the number of daemons when the Config names none: the least
// that survives the loss of one.
const DefaultNodes = 3

// maxSources is how many daemons are sources: the first ones.
const maxSources = 5

// ErrPortInUse marks the failure of Start when the address of Config.Operator
// is taken.
var ErrPortInUse = errors.New("port in use")

// The sizes that the stand-ins announce.
const (
	serverSlots       = 20
	serverConnections = 110
)

// Server is one stand-in backend server.
type Server struct {
	// Node is the index of the daemon it stands beside.
	Node          int
	Mesh, Service string
	// Version names its software, "" tells none; a version that Fails answers every second
	// request with a failure.
	Version string
	Fails   bool
}

// Config is fixed for the life of a Mesh.
type Config struct {
	// Nodes is the number of daemons. Default DefaultNodes.
	Nodes int
	// DataDir holds a folder for each daemon and is kept; empty takes a
	// temporary one that Stop removes.
	DataDir string
	// TokenFile holds the operator token; empty needs none on loopback.
	TokenFile string
	// Operator is the operator address of the first daemon, "ip:port"; empty
	// lets the system choose, as it does for all other addresses.
	Operator string
	Servers  []Server
	// Rollouts keeps requests away from versions that no roll-out has put in use.
	Rollouts bool
	Log      logr.Logger
}

// Node is one running daemon's addresses.
type Node struct {
	Name, Domain                     string
	Caller, Announce, Peer, Operator string
}

// Mesh is a running mesh.
type Mesh struct {
	Nodes   []Node
	Servers []*standin.Server

	// temp is the folder to remove at the end, or "".
	temp string
	// serving ends with stopServers.
	serving     context.Context
	stopServers context.CancelFunc
	stopDaemons context.CancelFunc
	servers     sync.WaitGroup
	daemons     sync.WaitGroup

	mu  sync.Mutex
	err error
}

// listenerNames are the listeners of a daemon.
var listenerNames = []string{"caller", "announce", "peer", "operator"}

// Start runs a mesh until Stop. It does not wait for a leader.
func Start(cfg Config) (*Mesh, error) {
	if cfg.Nodes == 0 {
		cfg.Nodes = DefaultNodes
	}
	m := &Mesh{stopDaemons: func() {}}
	m.serving, m.stopServers = context.WithCancel(context.Background())
	if err := m.start(cfg); err != nil {
		return nil, errors.CombineErrors(err, m.Stop())
	}
	return m, nil
}

func (m *Mesh) start(cfg Config) error {
	if cfg.DataDir == "" {
		dir, err := os.MkdirTemp("", "daisygate-dev")
		if err != nil {
			return errors.Wrap(err, "data folder")
		}
		m.temp, cfg.DataDir = dir, dir
	}
	listeners, err := m.listen(cfg)
	if err != nil {
		return err
	}
	if err := m.startDaemons(cfg, listeners); err != nil {
		return err
	}
	return m.StartServers(cfg.Servers)
}

// listen opens every listener first: each daemon's settings name the peer
// addresses of all.
func (m *Mesh) listen(cfg Config) ([]map[string]net.Listener, error) {
	var all []map[string]net.Listener
	for i := range cfg.Nodes {
		open := map[string]net.Listener{}
		all = append(all, open)
		for _, name := range listenerNames {
			addr := "127.0.0.1:0"
			if i == 0 && name == "operator" && cfg.Operator != "" {
				addr = cfg.Operator
			}
			listener, err := net.Listen("tcp", addr)
			if err != nil {
				closeAll(all)
				return nil, listenFailure(name, err)
			}
			open[name] = listener
		}
		m.Nodes = append(m.Nodes, Node{
			Name: fmt.Sprintf("n%d", i+1), Domain: fmt.Sprintf("d%d", i%3+1),
			Caller: open["caller"].Addr().String(), Announce: open["announce"].Addr().String(),
			Peer: open["peer"].Addr().String(), Operator: open["operator"].Addr().String(),
		})
	}
	return all, nil
}

func listenFailure(name string, err error) error {
	err = errors.Wrapf(err, "listen.%s", name)
	if errors.Is(err, syscall.EADDRINUSE) {
		return errors.Mark(err, ErrPortInUse)
	}
	return err
}

func closeAll(all []map[string]net.Listener) {
	for _, open := range all {
		for _, l := range open {
			_ = l.Close()
		}
	}
}

func (m *Mesh) startDaemons(cfg Config, listeners []map[string]net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.stopDaemons = cancel
	for i, n := range m.Nodes {
		set := m.settings(cfg, n)
		if err := set.Validate(); err != nil {
			closeAll(listeners[i:])
			return err
		}
		d, err := daemon.NewOn(set, cfg.Log, listeners[i])
		if err != nil {
			closeAll(listeners[i+1:])
			return err
		}
		m.daemons.Go(func() { m.note(d.Run(ctx)) })
	}
	return nil
}

// sources is the number of sources of a mesh: odd, for an even one survives no
// more losses than one less.
func sources(nodes int) int { return min((nodes-1)|1, nodes, maxSources) }

func (m *Mesh) settings(cfg Config, n Node) settings.Settings {
	set := settings.Defaults()
	set.Node, set.Domain = n.Name, n.Domain
	set.DataDir = filepath.Join(cfg.DataDir, n.Name)
	set.Listen = settings.Listen{Caller: n.Caller, Announce: n.Announce, Peer: n.Peer, Operator: n.Operator}
	set.Operator.TokenFile = cfg.TokenFile
	set.Servers.Rollouts = cfg.Rollouts
	for _, o := range m.Nodes[:sources(len(m.Nodes))] {
		set.Seeds = append(set.Seeds, o.Peer)
		set.Source.Members = append(set.Source.Members, settings.Member{Node: o.Name, Peer: o.Peer})
	}
	return set
}

// StartServers starts backend servers in a running mesh; Stop ends them too.
func (m *Mesh) StartServers(servers []Server) error {
	for _, s := range servers {
		version := ""
		if s.Version != "" {
			version = " version " + s.Version
		}
		server, err := standin.New(standin.Config{
			Listen: "127.0.0.1:0", AnnounceAddr: m.Nodes[s.Node].Announce,
			Announcement: announce.Announcement{
				Mesh: s.Mesh, Service: s.Service, Version: s.Version, Slots: serverSlots, Connections: serverConnections,
			},
			Crash:  cutConnection,
			Fails:  everySecond(s.Fails),
			Answer: fmt.Sprintf("answered by service %s%s beside daemon %s\n", s.Service, version, m.Nodes[s.Node].Name),
		})
		if err != nil {
			return err
		}
		m.Servers = append(m.Servers, server)
		m.servers.Go(func() { m.note(server.Run(m.serving)) })
	}
	return nil
}

// everySecond fails every second request, or none.
func everySecond(fails bool) func(*http.Request) bool {
	var requests atomic.Uint64
	return func(*http.Request) bool { return fails && requests.Add(1)%2 == 0 }
}

// cutConnection is how a stand-in crashes that shares its process with a mesh:
// the request's connection ends without an answer.
func cutConnection() { panic(http.ErrAbortHandler) }

// note keeps the first failure.
func (m *Mesh) note(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err == nil {
		m.err = err
	}
}

// Stop ends the backend servers, then the daemons, and cuts no request. It
// returns the first failure of any of them since Start.
func (m *Mesh) Stop() error {
	m.stopServers()
	m.servers.Wait()
	m.stopDaemons()
	m.daemons.Wait()
	if m.temp != "" {
		m.note(os.RemoveAll(m.temp))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.err
}
