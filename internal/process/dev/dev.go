// Package dev runs a complete mesh on the loopback interface in one process: daemons, of
// which up to five are sources, and stand-in backend servers. It is intended for trying out
// daisygate and for tests of the command line. The daemons are the production
// implementation and communicate over real sockets.
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
	"github.com/daisygate/daisygate/internal/testbackend"
)

// DefaultNodes is the default number of daemons: the smallest number that tolerates the loss
// of one.
const DefaultNodes = 3

// maxSources is the maximum number of daemons that are sources. The first daemons are the
// sources.
const maxSources = 5

// ErrPortInUse marks the error of Start if the address of Config.Operator is already in
// use.
var ErrPortInUse = errors.New("port in use")

// Slots and connections announced by each stand-in backend server.
const (
	serverSlots       = 20
	serverConnections = 110
)

// Server is one stand-in backend server.
type Server struct {
	// Node is the index of the daemon that the server announces itself to.
	Node          int
	Mesh, Service string
	// Version is the announced software version; "" announces none. If Fails is set, the
	// server answers every second request with a failure.
	Version string
	Fails   bool
}

// Config is the configuration of a Mesh. It must not change after Start.
type Config struct {
	// Nodes is the number of daemons. Default DefaultNodes.
	Nodes int
	// DataDir contains a directory for each daemon and is not removed. If it is empty, a
	// temporary directory is used, which Stop removes.
	DataDir string
	// TokenFile is the path of the file that holds the operator token. If it is empty, no
	// token is required on loopback.
	TokenFile string
	// Operator is the operator address of the first daemon, "ip:port". If it is empty, the
	// operating system chooses a port, as it does for all other addresses.
	Operator string
	Servers  []Server
	// Rollouts blocks requests to software versions that no roll-out has put in use.
	Rollouts bool
	Log      logr.Logger
}

// Node holds the name, failure domain and addresses of one running daemon.
type Node struct {
	Name, Domain                     string
	Caller, Announce, Peer, Operator string
}

// Mesh is a running mesh.
type Mesh struct {
	Nodes   []Node
	Servers []*testbackend.Server

	// tempDir is the directory that Stop removes, or "".
	tempDir string
	// serversCtx is canceled by stopServers.
	serversCtx  context.Context
	stopServers context.CancelFunc
	stopDaemons context.CancelFunc
	servers     sync.WaitGroup
	daemons     sync.WaitGroup

	mu  sync.Mutex
	err error
}

// listenerNames are the names of the listeners of each daemon.
var listenerNames = []string{"caller", "announce", "peer", "operator"}

// Start starts a mesh, which runs until Stop is called. It does not wait for the election of
// a leader.
func Start(cfg Config) (*Mesh, error) {
	if cfg.Nodes == 0 {
		cfg.Nodes = DefaultNodes
	}
	m := &Mesh{stopDaemons: func() {}}
	m.serversCtx, m.stopServers = context.WithCancel(context.Background())
	if err := m.start(cfg); err != nil {
		return nil, errors.CombineErrors(err, m.Stop())
	}
	return m, nil
}

func (m *Mesh) start(cfg Config) error {
	if cfg.DataDir == "" {
		dir, err := os.MkdirTemp("", "daisygate-dev")
		if err != nil {
			return errors.Wrap(err, "create temporary data directory")
		}
		m.tempDir, cfg.DataDir = dir, dir
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

// listen opens all listeners before any daemon starts, because the settings of each daemon
// contain the peer addresses of the sources. It returns the listeners of each daemon by
// name.
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
				return nil, listenError(name, err)
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

func listenError(name string, err error) error {
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
		d, err := daemon.NewWithListeners(set, cfg.Log, listeners[i])
		if err != nil {
			closeAll(listeners[i+1:])
			return err
		}
		m.daemons.Go(func() { m.recordError(d.Run(ctx)) })
	}
	return nil
}

// sourceCount returns the number of sources in a mesh. It is odd because an even number of
// sources tolerates no more failures than the odd number below it.
func sourceCount(nodes int) int { return min((nodes-1)|1, nodes, maxSources) }

func (m *Mesh) settings(cfg Config, n Node) settings.Settings {
	set := settings.Defaults()
	set.Node, set.Domain = n.Name, n.Domain
	set.DataDir = filepath.Join(cfg.DataDir, n.Name)
	set.Listen = settings.Listen{Caller: n.Caller, Announce: n.Announce, Peer: n.Peer, Operator: n.Operator}
	set.Operator.TokenFile = cfg.TokenFile
	set.Servers.Rollouts = cfg.Rollouts
	for _, o := range m.Nodes[:sourceCount(len(m.Nodes))] {
		set.Seeds = append(set.Seeds, o.Peer)
		set.Source.Members = append(set.Source.Members, settings.Member{Node: o.Name, Peer: o.Peer})
	}
	return set
}

// StartServers starts additional backend servers in a running mesh. Stop stops them too.
func (m *Mesh) StartServers(servers []Server) error {
	for _, s := range servers {
		version := ""
		if s.Version != "" {
			version = " version " + s.Version
		}
		server, err := testbackend.New(testbackend.Config{
			Listen: "127.0.0.1:0", AnnounceAddr: m.Nodes[s.Node].Announce,
			Announcement: announce.Announcement{
				Mesh: s.Mesh, Service: s.Service, Version: s.Version, Slots: serverSlots, Connections: serverConnections,
			},
			Crash:      abortRequest,
			ShouldFail: failEverySecond(s.Fails),
			Answer:     fmt.Sprintf("answered by service %s%s next to daemon %s\n", s.Service, version, m.Nodes[s.Node].Name),
		})
		if err != nil {
			return err
		}
		m.Servers = append(m.Servers, server)
		m.servers.Go(func() { m.recordError(server.Run(m.serversCtx)) })
	}
	return nil
}

// failEverySecond returns a function that reports whether a request must fail: every second
// one if fails is true, otherwise none.
func failEverySecond(fails bool) func(*http.Request) bool {
	var requests atomic.Uint64
	return func(*http.Request) bool { return fails && requests.Add(1)%2 == 0 }
}

// abortRequest simulates the crash of a stand-in server that runs in the process of the
// mesh: the connection of the request is closed without a response.
func abortRequest() { panic(http.ErrAbortHandler) }

// recordError stores err if it is the first error.
func (m *Mesh) recordError(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err == nil {
		m.err = err
	}
}

// Stop stops the backend servers and then the daemons without aborting requests. It returns
// the first error of any of them since Start.
func (m *Mesh) Stop() error {
	m.stopServers()
	m.servers.Wait()
	m.stopDaemons()
	m.daemons.Wait()
	if m.tempDir != "" {
		m.recordError(os.RemoveAll(m.tempDir))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.err
}
