// Package settings reads the YAML settings of one node: its addresses, its
// failure domain, its seeds, its data folder and its limits. Everything a
// process knows about its surroundings at start comes from here.
//
// Addresses are IP numbers with a port; host names are refused.
package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/strictyaml"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Settings is the content of one node's settings file.
type Settings struct {
	// Node is the unique name of this daemon in the fleet.
	Node string `yaml:"node"`
	// Region is the region of the instance; optional, "" is a region too.
	Region string `yaml:"region"`
	// Domain is the failure domain of the instance.
	Domain string `yaml:"domain"`
	// Listen holds the addresses of the four listeners.
	Listen Listen `yaml:"listen"`
	// Seeds are peer addresses of a few other nodes, to find the fleet.
	Seeds []string `yaml:"seeds"`
	// JoinBackoff bounds the random wait before a seed is asked at the start, and
	// doubles with each vain attempt. Short waits suit a small fleet, long ones
	// spare the seeds of a large one. Default 500ms.
	JoinBackoff time.Duration `yaml:"join_backoff"`
	// DataDir is the data folder; empty on an instance without a disk.
	DataDir string `yaml:"data_dir"`
	// Source lists the sources of the fleet; the same on every node.
	Source Source `yaml:"source"`
	// Operator configures the operator API.
	Operator Operator `yaml:"operator"`
	// Log configures structured logs.
	Log Log `yaml:"log"`
	// Trace configures span export.
	Trace Trace `yaml:"trace"`
	// Limits bound what the listeners take in.
	Limits Limits `yaml:"limits"`
	// Stop configures the planned stop.
	Stop Stop `yaml:"stop"`
	// Retry bounds the further attempts of the whole fleet.
	Retry Retry `yaml:"retry"`
	// Servers tells how the backend servers beside this daemon behave.
	Servers Servers `yaml:"servers"`
	// Exposure bounds what a software version under roll-out may get.
	Exposure Exposure `yaml:"exposure"`
}

// Listen holds the addresses of the listeners, each "ip:port".
type Listen struct {
	// Caller takes the requests of callers; left out on an instance that carries
	// no calls, which then has to be a source.
	Caller string `yaml:"caller"`
	// Announce takes the announcements of backend servers. It is a loopback
	// address unless AnnounceRemote is set: who can reach it can draw requests.
	Announce string `yaml:"announce"`
	// AnnounceRemote allows Announce to be another than a loopback address;
	// servers of other instances are refused there all the same. Default false.
	AnnounceRemote bool `yaml:"announce_remote"`
	// Peer takes what other daemons send; it is the address they dial.
	Peer string `yaml:"peer"`
	// Operator takes manifests and answers questions. It is a loopback address
	// unless Operator.TokenFile is set.
	Operator string `yaml:"operator"`
	// Control takes what a platform's operators and backend servers say in the
	// platform's own form; only where a platform is in use.
	Control string `yaml:"control"`
	// Health answers whether this daemon is alive and ready, on an address of its
	// own. It is optional: listen.operator tells the same.
	Health string `yaml:"health"`
	// Metrics serves the metrics and health without a token, for a collector that
	// can reach no loopback address. It is optional.
	Metrics string `yaml:"metrics"`
}

// Source lists the sources.
type Source struct {
	// Members are the sources, an odd number, at most 7; the same on each node.
	Members []Member `yaml:"members"`
	// Join makes this node a source although it may be missing in Members: it
	// takes the place of a source that is gone for good, once another one admits
	// it. Nodes are then named by their IP number, and listen.peer has the same
	// port everywhere, so that sources find each other when Members are out of
	// date. Default false.
	Join bool `yaml:"join"`
	// Voters is how many sources vote, an odd number: while there are fewer, those
	// that join are taken in beside the others. Three bear the loss of one, five of
	// two. 0 is as many as Members. Default 0.
	Voters int `yaml:"voters"`
	// Found allows an empty data folder to take part in the founding of the
	// sources. With false it waits until another source admits it. Default true.
	Found bool `yaml:"found"`
	// Direct has a daemon that starts ask the sources themselves which version is
	// committed, beside the tree that versions spread by: sooner ready, at a cost
	// to the sources that grows with the fleet. Default false.
	Direct bool `yaml:"direct"`
	// Claims keeps the table of requests with an idempotency key on the sources.
	// Without it the key is passed on and nothing more. Default true.
	Claims bool `yaml:"claims"`
}

// Member is one source.
type Member struct {
	// Node is the source's name.
	Node string `yaml:"node"`
	// Peer is its listen.peer.
	Peer string `yaml:"peer"`
}

// Operator configures the operator API.
type Operator struct {
	// TokenFile holds the bearer token; empty allows loopback callers only.
	TokenFile string `yaml:"token_file"`
}

// The formats of logs.
const (
	LogJSON = "json"
	LogText = "text"
)

// Log configures structured logs.
type Log struct {
	// Level is the logr verbosity: 0 for events people act on, 1 for detail,
	// 2 for debugging, up to 9. Default 0.
	Level int `yaml:"level"`
	// Format is "json" or "text". Default "json".
	Format string `yaml:"format"`
	// RepeatInterval is the time in which one message is written ten times at
	// most; the first after it tells how many were held back. 0s holds nothing
	// back. Default 10s.
	RepeatInterval time.Duration `yaml:"repeat_interval"`
	// RequestsPerSecond is about how many lines a second are written about single
	// requests that did not go well; of more, a share of the requests is told of,
	// the same share by all daemons. 0 is no bound. Default 20.
	RequestsPerSecond int `yaml:"requests_per_second"`
}

// Trace configures span export.
type Trace struct {
	// File receives one JSON object a span; empty exports nothing.
	File string `yaml:"file"`
	// SampleRatio is the share of traces begun here that are recorded, 0 to 1.
	// A trace begun by the caller keeps the caller's choice. Default 0.
	SampleRatio float64 `yaml:"sample_ratio"`
}

// Limits bound what the listeners take in.
type Limits struct {
	// HeaderBytes is the most header bytes of one request, request line
	// included. Default 65536 (64 KiB).
	HeaderBytes int `yaml:"header_bytes"`
	// HeaderTimeout bounds the reading of a request's header. Default 5s.
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	// IdleTimeout closes idle connections. Default 90s.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// StallTimeout cuts a request or answer of which no byte could be read or
	// written for this long. Default 5m.
	StallTimeout time.Duration `yaml:"stall_timeout"`
	// CallerConnections is the most connections from callers. One more is
	// answered with 503 and closed. Default 10000.
	CallerConnections int `yaml:"caller_connections"`
	// PeerConnections is the most connections from daemons. Default 10000.
	PeerConnections int `yaml:"peer_connections"`
	// AnnounceConnections is the most connections to listen.announce.
	// Default 256.
	AnnounceConnections int `yaml:"announce_connections"`
	// OperatorConnections is the most connections to listen.operator.
	// Default 256.
	OperatorConnections int `yaml:"operator_connections"`
	// ManifestBytes is the largest manifest taken. Default 4194304 (4 MiB),
	// which is also the most.
	ManifestBytes int64 `yaml:"manifest_bytes"`
	// ControlBytes is the largest control message taken from a daemon.
	// Default 67108864 (64 MiB).
	ControlBytes int `yaml:"control_bytes"`
	// QueuePerSlot is the length of the admission queue beside a backend
	// server, in multiples of its slots. Default 2.
	QueuePerSlot int `yaml:"queue_per_slot"`
	// LinkBytes is what the instance's link carries each way, in bytes a second:
	// large bodies then come in one after the other. 0 is not known. Default 0.
	LinkBytes int64 `yaml:"link_bytes"`
	// MemoryBytes is the memory at which the collector works harder, in the hope
	// to stay below it; 0 is no bound. Default 0.
	MemoryBytes int64 `yaml:"memory_bytes"`
}

// Stop configures the planned stop.
type Stop struct {
	// LeaveDelay is how long a leaving daemon keeps answering "not run" while
	// the fleet learns that it leaves. Default 1s.
	LeaveDelay time.Duration `yaml:"leave_delay"`
	// Timeout bounds the wait for requests in progress; what still runs then is
	// cut. Default 1h, at most 24h.
	Timeout time.Duration `yaml:"timeout"`
	// Serve takes requests of callers as before during LeaveDelay, for callers
	// that learn of the stop only by listen.health and have no other daemon.
	// Default false.
	Serve bool `yaml:"serve"`
}

// Retry bounds the further attempts at one service, of all daemons together: in
// Window they are at most Ratio of the requests and Slack besides.
type Retry struct {
	// Ratio is the further attempts for each request. Default 0.2.
	Ratio float64 `yaml:"ratio"`
	// Slack is divided among the daemons that are known. Default 200.
	Slack int `yaml:"slack"`
	// Window is the time that the bound holds for. Default 10s.
	Window time.Duration `yaml:"window"`
}

// Exposure bounds the requests that a software version gets before it is judged good: at
// most Share of all that reach the service while the roll-out runs, and Slack besides.
type Exposure struct {
	// Share is above 0 and below 1. Default 0.1.
	Share float64 `yaml:"share"`
	// Slack is in requests. Default 50.
	Slack int `yaml:"slack"`
}

// Servers tells how the backend servers beside this daemon behave.
type Servers struct {
	// Dial opens a connection to each server once a second, to see whether it can
	// be reached. Default true.
	Dial bool `yaml:"dial"`
	// Linger waits, when a request is given up, for the server to close its end
	// of the connection, and counts the slot as taken until then. Without it the
	// connection is closed at once. Default true.
	Linger bool `yaml:"linger"`
	// Adapt lowers the requests that run on a server below its slots while its
	// latency climbs. It misleads where servers call others while they hold a
	// slot. Default true.
	Adapt bool `yaml:"adapt"`
	// HoldBytes is the largest answer that is read whole before it is passed on,
	// so that a cut one is found in time; 0 streams every answer. Default 0.
	HoldBytes int64 `yaml:"hold_bytes"`
	// SlowRestart says that a server that crashed is away for seconds. Else one
	// that still listens but lost several connections at one time is taken for
	// crashed and back. Default false.
	SlowRestart bool `yaml:"slow_restart"`
	// Quarantine keeps requests away that crash servers. Default true.
	Quarantine bool `yaml:"quarantine"`
	// Rollouts keeps requests away from servers of a software version that no roll-out has
	// put in use; the first version of a service needs none. It is the same on every node.
	// Default false.
	Rollouts bool `yaml:"rollouts"`
}

// Defaults returns the documented defaults.
func Defaults() Settings {
	return Settings{
		Log: Log{Format: LogJSON, RepeatInterval: 10 * time.Second, RequestsPerSecond: 20},
		Limits: Limits{
			HeaderBytes:         64 << 10,
			HeaderTimeout:       5 * time.Second,
			IdleTimeout:         90 * time.Second,
			StallTimeout:        5 * time.Minute,
			CallerConnections:   10000,
			PeerConnections:     10000,
			AnnounceConnections: 256,
			OperatorConnections: 256,
			ManifestBytes:       manifest.MaxBytes,
			ControlBytes:        64 << 20,
			QueuePerSlot:        2,
		},
		JoinBackoff: 500 * time.Millisecond,

		Source:  Source{Found: true, Claims: true},
		Stop:    Stop{LeaveDelay: time.Second, Timeout: time.Hour},
		Retry:   Retry{Ratio: 0.2, Slack: 200, Window: 10 * time.Second},
		Servers: Servers{Dial: true, Linger: true, Adapt: true, Quarantine: true},

		Exposure: Exposure{Share: 0.1, Slack: 50},
	}
}

// SetDefaults sets the documented defaults, before the keys are read.
func (s *Settings) SetDefaults() { *s = Defaults() }

// Load reads and checks a settings file. The error of a file that could be read
// is as for Parse.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(raw)
}

// Parse reads and checks settings. The error, if any, is a
// strictyaml.Faults that lists everything wrong with them.
func Parse(raw []byte) (Settings, error) {
	var s Settings
	doc := strictyaml.Decode(raw, MaxBytes, &s)
	if doc.Whole() {
		s.check(doc)
	}
	return s, doc.Err()
}

// Validate lists every fault of settings that were built in memory, or returns
// nil.
func (s *Settings) Validate() error {
	doc := strictyaml.NewDocument()
	s.check(doc)
	return doc.Err()
}

// IsProxy reports whether this node carries calls.
func (s *Settings) IsProxy() bool { return s.Listen.Caller != "" }

// IsSource reports whether this node is one of the sources.
func (s *Settings) IsSource() bool {
	if s.Source.Join {
		return true
	}
	for _, m := range s.Source.Members {
		if m.Node == s.Node {
			return true
		}
	}
	return false
}
