// Package settings reads and validates the YAML settings file of one node: its
// addresses, failure domain, seeds, data directory and limits. It is the only
// source of configuration that a process has at startup.
//
// Addresses are IP addresses with a port; host names are rejected.
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
	// Node is the name of this daemon, unique in the fleet.
	Node string `yaml:"node"`
	// Region is the region of the instance. It is optional; the empty string counts
	// as a region of its own.
	Region string `yaml:"region"`
	// Domain is the failure domain of the instance.
	Domain string `yaml:"domain"`
	// Listen holds the addresses of the listeners.
	Listen Listen `yaml:"listen"`
	// Seeds are the peer addresses of a few other nodes through which this node
	// joins the fleet.
	Seeds []string `yaml:"seeds"`
	// JoinBackoff is the upper bound of the random delay before the first join
	// request to a seed; it doubles with each failed attempt. A short delay suits a
	// small fleet, a long one reduces the load on the seeds of a large fleet.
	// Default 500ms.
	JoinBackoff time.Duration `yaml:"join_backoff"`
	// DataDir is the data directory; empty on an instance without a disk.
	DataDir string `yaml:"data_dir"`
	// Source lists the sources of the fleet. It must be the same on every node.
	Source Source `yaml:"source"`
	// Operator configures the operator API.
	Operator Operator `yaml:"operator"`
	// Log configures structured logs.
	Log Log `yaml:"log"`
	// Trace configures span export.
	Trace Trace `yaml:"trace"`
	// Limits bounds the resources used by listeners, and the memory.
	Limits Limits `yaml:"limits"`
	// Stop configures the graceful shutdown.
	Stop Stop `yaml:"stop"`
	// Retry bounds the retries of the whole fleet.
	Retry Retry `yaml:"retry"`
	// Servers configures how the local backend servers are handled.
	Servers Servers `yaml:"servers"`
	// Exposure bounds the traffic to a software version that is being rolled out.
	Exposure Exposure `yaml:"exposure"`
	// Organisations configures how API keys are checked.
	Organisations Organisations `yaml:"organisations"`
}

// Listen holds the addresses of the listeners, each "ip:port".
type Listen struct {
	// Caller accepts requests from callers. It is omitted on an instance that
	// proxies no requests, which must then be a source.
	Caller string `yaml:"caller"`
	// Announce accepts the announcements of backend servers. It must be a loopback
	// address unless AnnounceRemote is set, because any client that can reach it can
	// register as a backend server and receive requests.
	Announce string `yaml:"announce"`
	// AnnounceRemote allows an Announce address that is not a loopback address.
	// Servers on other instances are still rejected. Default false.
	AnnounceRemote bool `yaml:"announce_remote"`
	// Peer accepts connections from other daemons; it is the address they dial.
	Peer string `yaml:"peer"`
	// Operator serves the operator API: it accepts manifests and answers queries. It
	// must be a loopback address unless Operator.TokenFile is set.
	Operator string `yaml:"operator"`
	// Control accepts the messages of a platform's operators and backend servers in
	// the platform's own format. It is only used with a platform.
	Control string `yaml:"control"`
	// Health serves liveness and readiness on a separate address. It is optional:
	// listen.operator serves them too.
	Health string `yaml:"health"`
	// Metrics serves metrics and health without a token, for a collector that cannot
	// reach a loopback address. It is optional.
	Metrics string `yaml:"metrics"`
}

// Source configures the sources: the daemons that replicate the log of accepted
// versions.
type Source struct {
	// Members lists the sources: an odd number, at most 7. It must be the same on every
	// node.
	Members []Member `yaml:"members"`
	// Join makes this node a source even if Members does not list it: it replaces a
	// source that is permanently lost, once another source admits it. Each node must
	// then be named by its IP address and listen.peer must use the same port on every
	// node, so that sources can find each other when Members is out of date.
	// Default false.
	Join bool `yaml:"join"`
	// Voters is the number of voting sources, an odd number. While there are fewer
	// voters, joining sources are added to the existing ones. Three voters tolerate
	// the loss of one, five the loss of two. 0 means the length of Members.
	// Default 0.
	Voters int `yaml:"voters"`
	// Found allows a source with an empty data directory to take part in
	// bootstrapping the group of sources. If false, the source waits until another
	// source admits it. Default true.
	Found bool `yaml:"found"`
	// Direct makes a starting daemon ask the sources directly for the committed
	// version, in addition to asking through the distribution tree. The daemon is
	// ready sooner, but the load on the sources grows with the fleet. Default false.
	Direct bool `yaml:"direct"`
	// Claims stores the table of requests with an idempotency key on the sources. If
	// false, the key is only forwarded. Default true.
	Claims bool `yaml:"claims"`
}

// Member is one source.
type Member struct {
	// Node is the name of the source.
	Node string `yaml:"node"`
	// Peer is the listen.peer address of the source.
	Peer string `yaml:"peer"`
}

// Operator configures the operator API.
type Operator struct {
	// TokenFile is the path of the file that holds the bearer token. If it is empty,
	// only loopback clients are allowed.
	TokenFile string `yaml:"token_file"`
}

// Values of Log.Format.
const (
	LogJSON = "json"
	LogText = "text"
)

// Log configures structured logs.
type Log struct {
	// Level is the logr verbosity: 0 for events that operators act on, 1 for details,
	// 2 for debugging, up to 9. Default 0.
	Level int `yaml:"level"`
	// Format is "json" or "text". Default "json".
	Format string `yaml:"format"`
	// RepeatInterval is the interval in which the same message is written at most ten
	// times (100 times by the loggers "operators" and "source"); the first line after
	// it reports how many were suppressed. 0s disables the suppression. Default 10s.
	RepeatInterval time.Duration `yaml:"repeat_interval"`
	// RequestsPerSecond is the approximate number of log lines per second about
	// individual requests that did not succeed. Above it, only a fraction of the
	// requests is logged, the same fraction by all daemons. 0 means no limit.
	// Default 20.
	RequestsPerSecond int `yaml:"requests_per_second"`
}

// Trace configures span export.
type Trace struct {
	// File is the path of a file to which each span is written as one JSON object. If
	// it is empty, no spans are exported.
	File string `yaml:"file"`
	// SampleRatio is the fraction, 0 to 1, of the traces started by this daemon that
	// are recorded. A trace started by the caller keeps the caller's sampling
	// decision. Default 0.
	SampleRatio float64 `yaml:"sample_ratio"`
}

// Limits bounds the resources used by listeners, and the memory.
type Limits struct {
	// HeaderBytes is the maximum size of a request's header, including the request
	// line. Default 65536 (64 KiB).
	HeaderBytes int `yaml:"header_bytes"`
	// HeaderTimeout bounds the time to read a request's header. Default 5s.
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	// IdleTimeout is how long a connection may be idle before it is closed.
	// Default 90s.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// StallTimeout aborts a request or response when no byte could be read or
	// written for this long. Default 5m.
	StallTimeout time.Duration `yaml:"stall_timeout"`
	// CallerConnections is the maximum number of connections from callers. Further
	// connections are answered with 503 and closed. Default 10000.
	CallerConnections int `yaml:"caller_connections"`
	// PeerConnections is the maximum number of connections from other daemons.
	// Default 10000.
	PeerConnections int `yaml:"peer_connections"`
	// AnnounceConnections is the maximum number of connections to listen.announce.
	// Default 256.
	AnnounceConnections int `yaml:"announce_connections"`
	// OperatorConnections is the maximum number of connections to listen.operator.
	// Default 256.
	OperatorConnections int `yaml:"operator_connections"`
	// HealthConnections is the maximum number of connections to listen.health.
	// Default 256.
	HealthConnections int `yaml:"health_connections"`
	// ManifestBytes is the maximum size of a manifest. Default 4194304 (4 MiB),
	// which is also the largest allowed value.
	ManifestBytes int64 `yaml:"manifest_bytes"`
	// ControlBytes is the maximum size of a control message from another daemon.
	// Default 67108864 (64 MiB).
	ControlBytes int `yaml:"control_bytes"`
	// QueuePerSlot is the length of the admission queue of a local backend server, as
	// a multiple of its slots. Default 2.
	QueuePerSlot int `yaml:"queue_per_slot"`
	// LinkBytes is the bandwidth of the instance's network link in each direction, in
	// bytes per second. If it is set, large bodies are received one after the other.
	// 0 means unknown. Default 0.
	LinkBytes int64 `yaml:"link_bytes"`
	// MemoryBytes is the soft memory limit of the garbage collector, which runs more
	// often as the limit is approached. 0 means no limit. Default 0.
	MemoryBytes int64 `yaml:"memory_bytes"`
	// HeaderMemoryBytes is the memory that the headers of all requests in progress on one
	// listener may take up, beyond 16 KiB for each request. A request waits for it for up to
	// 500 ms and is then refused as not run. 0 means an eighth of MemoryBytes, or 64 MiB
	// without it. Default 0.
	HeaderMemoryBytes int64 `yaml:"header_memory_bytes"`
	// SocketBufferBytes is the size of the receive and of the send buffer of each
	// connection: what may wait there for the reader of a connection. 0 leaves it to the
	// kernel, which may use megabytes for a connection. Default 0.
	SocketBufferBytes int `yaml:"socket_buffer_bytes"`
	// ResponseMemoryBytes is the memory that buffered responses may take up (servers.hold_bytes).
	// If a route's usual response does not fit, the caller that is slowest to read is
	// disconnected; if none is slow, the request is refused as not run. 0 means a fourth of
	// MemoryBytes, at most 32 MiB, or 32 MiB without it. Default 0.
	ResponseMemoryBytes int64 `yaml:"response_memory_bytes"`
	// OrderMemoryBytes is the memory that the orders of a platform's operators may take up
	// while they are received and decoded, which is taken to be 16 times their size; smaller
	// ones than 64 KiB do not count. The slowest sender is disconnected in favor of another;
	// if none is slow, the order is refused. 0 means half of MemoryBytes, or 256 MiB without
	// it. Default 0.
	OrderMemoryBytes int64 `yaml:"order_memory_bytes"`
	// Uploads is the maximum number of bodies larger than 16 KiB, or of unknown length, that
	// callers may be sending at a time. Above it, a body that has taken longer than its
	// route's timeout is cut off; if there is none, the new request is refused as not run.
	// 0 means one for each 2 MiB of MemoryBytes, or 256 without it. Default 0.
	Uploads int `yaml:"uploads"`
}

// Defaults of the limits that depend on MemoryBytes.
const (
	headerDivisor         = 8
	responseDivisor       = 4
	defaultResponseMemory = 32 << 20
	defaultHeaderMemory   = 64 << 20
	orderDivisor          = 2
	defaultOrderMemory    = 256 << 20
	uploadMemory          = 2 << 20
	defaultUploads        = 256
)

// ResponseMemory returns ResponseMemoryBytes, or its default.
func (l *Limits) ResponseMemory() int64 {
	return l.orShare(l.ResponseMemoryBytes, min(l.MemoryBytes/responseDivisor, defaultResponseMemory), defaultResponseMemory)
}

// OrderMemory returns OrderMemoryBytes, or its default.
func (l *Limits) OrderMemory() int64 {
	return l.orShare(l.OrderMemoryBytes, l.MemoryBytes/orderDivisor, defaultOrderMemory)
}

// MaxUploads returns Uploads, or its default.
func (l *Limits) MaxUploads() int {
	return int(l.orShare(int64(l.Uploads), max(l.MemoryBytes/uploadMemory, 1), defaultUploads))
}

// HeaderMemory returns HeaderMemoryBytes, or its default.
func (l *Limits) HeaderMemory() int64 {
	return l.orShare(l.HeaderMemoryBytes, l.MemoryBytes/headerDivisor, defaultHeaderMemory)
}

// orShare returns a limit if it is set, else a share of MemoryBytes, or fallback without MemoryBytes.
func (l *Limits) orShare(limit, share, fallback int64) int64 {
	switch {
	case limit > 0:
		return limit
	case l.MemoryBytes > 0:
		return share
	}
	return fallback
}

// Stop configures the graceful shutdown.
type Stop struct {
	// LeaveDelay is how long a leaving daemon keeps answering requests with "not run"
	// while the fleet learns that it leaves. Default 1s.
	LeaveDelay time.Duration `yaml:"leave_delay"`
	// Timeout bounds the wait for requests in progress; requests still running at the
	// end of it are aborted. Default 1h, at most 24h.
	Timeout time.Duration `yaml:"timeout"`
	// Serve makes the daemon accept requests from callers as usual during LeaveDelay,
	// for callers that learn of the shutdown only from listen.health and know no other
	// daemon. Default false.
	Serve bool `yaml:"serve"`
}

// Retry bounds the retries to one service by all daemons together: within Window, the
// fleet makes at most Ratio times the number of requests, plus Slack.
type Retry struct {
	// Ratio is the number of retries per request. Default 0.2.
	Ratio float64 `yaml:"ratio"`
	// Slack is divided among the known daemons. Default 200.
	Slack int `yaml:"slack"`
	// Window is the period over which the limit is enforced. Default 10s.
	Window time.Duration `yaml:"window"`
}

// Organisations configures how API keys are checked.
type Organisations struct {
	// RevokeWithin is the time after which an API key that was withdrawn no longer works at
	// any daemon, even at one without contact to the sources. Such a daemon refuses all
	// requests with a key. 0s lets it accept the keys that it knows. It must be the same on
	// every node. Default 0s.
	RevokeWithin time.Duration `yaml:"revoke_within"`
	// LimitWindow is the time within which an organisation may send its rate times this time,
	// plus its burst. Default 5s.
	LimitWindow time.Duration `yaml:"limit_window"`
	// LimitSlack is the number of requests by which an organisation may exceed that, because
	// the daemons learn of each other's requests only after some time. Default 10.
	LimitSlack int `yaml:"limit_slack"`
}

// Exposure bounds the requests that a software version receives before it is found
// healthy: at most Share of all requests that reach the service during the roll-out,
// plus Slack.
type Exposure struct {
	// Share is a fraction above 0 and below 1. Default 0.1.
	Share float64 `yaml:"share"`
	// Slack is a number of requests. Default 50.
	Slack int `yaml:"slack"`
}

// Servers configures how the local backend servers are handled.
type Servers struct {
	// Dial opens a connection to each server once a second to check that it is
	// reachable. Default true.
	Dial bool `yaml:"dial"`
	// Linger makes the daemon wait, after it abandons a request, for the server to
	// close its end of the connection; the slot stays occupied until then, or until the
	// server has gone on sending for seconds. If false, the connection is closed
	// immediately. Default true.
	Linger bool `yaml:"linger"`
	// Adapt reduces the concurrency of a server below its slots while its latency
	// rises. It gives wrong results if servers call other servers while they hold a
	// slot. Default true.
	Adapt bool `yaml:"adapt"`
	// HoldBytes is the largest response that is read completely before it is
	// forwarded, so that a truncated one is detected in time. 0 streams every response.
	// Default 0.
	HoldBytes int64 `yaml:"hold_bytes"`
	// SlowRestart declares that a crashed server stays down for seconds. If false, a
	// server that still listens but lost several connections at the same time is
	// considered to have crashed and restarted. Default false.
	SlowRestart bool `yaml:"slow_restart"`
	// Quarantine blocks requests that crash servers. Default true.
	Quarantine bool `yaml:"quarantine"`
	// Rollouts blocks requests to servers of a software version that no roll-out has
	// put in use; the first version of a service needs no roll-out. It must be the same
	// on every node. Default false.
	Rollouts bool `yaml:"rollouts"`
}

// Defaults returns the documented default settings.
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
			HealthConnections:   256,
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

		Organisations: Organisations{LimitWindow: 5 * time.Second, LimitSlack: 10},
	}
}

// SetDefaults sets the documented defaults. The YAML decoder calls it before it reads
// the keys.
func (s *Settings) SetDefaults() { *s = Defaults() }

// Load reads and validates a settings file. If the file can be read, the error is as
// for Parse.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(raw)
}

// Parse decodes and validates settings. A non-nil error is a strictyaml.Faults that
// lists every fault found.
func Parse(raw []byte) (Settings, error) {
	var s Settings
	doc := strictyaml.Decode(raw, MaxBytes, &s)
	if doc.Parsed() {
		s.check(doc)
	}
	return s, doc.Err()
}

// Validate checks settings that were built in memory. It returns an error that lists
// every fault, or nil.
func (s *Settings) Validate() error {
	doc := strictyaml.NewDocument()
	s.check(doc)
	return doc.Err()
}

// IsProxy reports whether this node proxies the requests of callers.
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
