// Package settings reads the YAML settings of one node: its addresses, its
// failure domain, its seeds, its data folder and its limits. Everything a
// process knows about its surroundings at start comes from here.
//
// Addresses are IP numbers with a port; host names are refused.
package settings

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
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
}

// Listen holds the addresses of the listeners, each "ip:port".
type Listen struct {
	Caller   string `yaml:"caller"`
	Announce string `yaml:"announce"`
	Peer     string `yaml:"peer"`
	Operator string `yaml:"operator"`
}

// Source lists the sources.
type Source struct {
	Members []Member `yaml:"members"`
}

// Member is one source.
type Member struct {
	Node string `yaml:"node"`
	Peer string `yaml:"peer"`
}

// Operator configures the operator API.
type Operator struct {
	// TokenFile holds the bearer token; empty allows loopback callers only.
	TokenFile string `yaml:"token_file"`
}

// Log configures structured logs.
type Log struct {
	// Level is the logr verbosity: 0 for events people act on, 1 for detail,
	// 2 for debugging. Default 0.
	Level int `yaml:"level"`
	// Format is "json" or "text". Default "json".
	Format string `yaml:"format"`
}

// Trace configures span export.
type Trace struct {
	// File receives one JSON object a span; empty exports nothing.
	File string `yaml:"file"`
	// SampleRatio is the share of traces begun here that are recorded, 0 to 1.
	SampleRatio float64 `yaml:"sample_ratio"`
}

// Limits bound what the listeners take in.
type Limits struct {
	// HeaderBytes is the most header bytes of one request. Default 64 KiB.
	HeaderBytes int `yaml:"header_bytes"`
	// HeaderTimeout bounds the reading of a request's header. Default 5s.
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	// IdleTimeout closes idle connections. Default 90s.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// CallerConnections is the most connections from callers. Default 10000.
	CallerConnections int `yaml:"caller_connections"`
	// PeerConnections is the most connections from daemons. Default 10000.
	PeerConnections int `yaml:"peer_connections"`
	// ManifestBytes is the largest manifest taken. Default 4 MiB.
	ManifestBytes int64 `yaml:"manifest_bytes"`
	// QueuePerSlot is the length of the admission queue beside a backend
	// server, in multiples of its slots. Default 2.
	QueuePerSlot int `yaml:"queue_per_slot"`
}

// Defaults returns the documented defaults.
func Defaults() Settings {
	return Settings{
		Log: Log{Format: "json"},
		Limits: Limits{
			HeaderBytes:       64 << 10,
			HeaderTimeout:     5 * time.Second,
			IdleTimeout:       90 * time.Second,
			CallerConnections: 10000,
			PeerConnections:   10000,
			ManifestBytes:     4 << 20,
			QueuePerSlot:      2,
		},
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(raw)
}

// Parse reads settings from YAML. Unknown keys are refused; all other faults
// are reported together.
func Parse(raw []byte) (Settings, error) {
	s := Defaults()
	if err := yaml.UnmarshalWithOptions(raw, &s, yaml.Strict()); err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return s, s.Validate()
}

// Validate lists every fault in one error, or returns nil.
func (s *Settings) Validate() error {
	var faults []string
	need := func(key, value string) {
		if value == "" {
			faults = append(faults, key+": is required")
		}
	}
	addr := func(key, value string) {
		if _, err := netip.ParseAddrPort(value); err != nil {
			faults = append(faults, key+": want an IP number and port such as 127.0.0.1:7000, got "+value)
		}
	}
	need("node", s.Node)
	need("domain", s.Domain)
	addr("listen.caller", s.Listen.Caller)
	addr("listen.announce", s.Listen.Announce)
	addr("listen.peer", s.Listen.Peer)
	addr("listen.operator", s.Listen.Operator)
	for _, seed := range s.Seeds {
		addr("seeds", seed)
	}
	for _, m := range s.Source.Members {
		need("source.members.node", m.Node)
		addr("source.members.peer", m.Peer)
	}
	if s.IsSource() && s.DataDir == "" {
		faults = append(faults, "data_dir: is required on a source")
	}
	if len(faults) > 0 {
		return errors.Newf("settings: %s", strings.Join(faults, "; "))
	}
	return nil
}

// IsSource reports whether this node is one of the sources.
func (s *Settings) IsSource() bool {
	for _, m := range s.Source.Members {
		if m.Node == s.Node {
			return true
		}
	}
	return false
}
