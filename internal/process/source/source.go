// Package source runs one source: it joins the decisions of package replica to
// the disk and the other sources, and applies committed manifests to the
// fleet's state. "Accepted" is answered only after commit.
package source

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/storage"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Transport reaches the other sources.
type Transport interface {
	// Send delivers messages in the background; it may lose them.
	Send(to string, messages []replica.Message)
	// Submit passes a manifest to the source that leads.
	Submit(ctx context.Context, to string, m *manifest.Manifest) (Answer, error)
}

// Config is fixed for the life of a Source.
type Config struct {
	ID      string
	Members []string
	// DataDir is where the log lives.
	DataDir string
	// TickInterval is the time of one tick. Default 50ms.
	TickInterval time.Duration
	// ElectionTicks and HeartbeatTicks are passed to replica.
	ElectionTicks  int
	HeartbeatTicks int
	Seed           uint64
}

// Status is what a source tells of itself.
type Status struct {
	Role    string `json:"role"`
	Term    uint64 `json:"term"`
	Lead    string `json:"lead"`
	Commit  uint64 `json:"commit"`
	Version uint64 `json:"version"`
	// Syncs counts the disk syncs since the start.
	Syncs uint64 `json:"syncs"`
	// Failure is why this source accepts nothing, or "".
	Failure string `json:"failure,omitempty"`
}

type proposal struct {
	manifest *manifest.Manifest
	answer   chan Answer
}

type waiter struct {
	term   uint64
	answer chan Answer
}

// Source is one running source. All state behind the channels is owned by the
// goroutine in Run.
type Source struct {
	cfg       Config
	transport Transport
	log       logr.Logger
	onAccept  func(*fleet.State)

	core    *replica.Core
	disk    *storage.Log
	machine *machine
	waiters map[uint64]waiter

	inbox     chan []replica.Message
	proposals chan proposal
	queries   chan func(*machine)
	status    atomic.Pointer[Status]
	failed    error
}

// Open reads the data folder. onAccept is called from Run with each new state.
func Open(cfg Config, transport Transport, log logr.Logger, onAccept func(*fleet.State)) (*Source, error) {
	disk, restored, err := storage.Open(cfg.DataDir)
	if err != nil {
		return nil, err
	}
	s := &Source{
		cfg: cfg, transport: transport, log: log, onAccept: onAccept,
		disk: disk, machine: newMachine(), waiters: map[uint64]waiter{},
		inbox:     make(chan []replica.Message, 1024),
		proposals: make(chan proposal, 1024),
		queries:   make(chan func(*machine)),
	}
	if len(restored.Snapshot.Data) > 0 {
		if s.machine, err = decodeMachine(restored.Snapshot.Data); err != nil {
			return nil, errors.CombineErrors(err, disk.Close())
		}
	}
	s.core = replica.New(replica.Config{
		ID: cfg.ID, Members: cfg.Members,
		ElectionTicks: cfg.ElectionTicks, HeartbeatTicks: cfg.HeartbeatTicks, Seed: cfg.Seed,
	}, restored)
	s.publishStatus()
	return s, nil
}

// Deliver takes in messages of other sources; it drops them when overrun.
func (s *Source) Deliver(messages []replica.Message) {
	select {
	case s.inbox <- messages:
	default:
	}
}

// Status returns the newest status.
func (s *Source) Status() Status { return *s.status.Load() }

// Run drives the source until ctx ends.
func (s *Source) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.cfg.TickInterval)
	defer ticker.Stop()
	if s.machine.state.Version > 0 {
		s.onAccept(s.machine.state)
	}
	for {
		select {
		case <-ctx.Done():
			return s.disk.Close()
		case <-ticker.C:
			s.core.Tick()
		case messages := <-s.inbox:
			s.step(messages)
		case p := <-s.proposals:
			s.propose(p)
		case query := <-s.queries:
			query(s.machine)
		}
		s.more()
		s.settle()
		s.publishStatus()
	}
}

// more takes in what else waits, so that one sync serves all of it.
func (s *Source) more() {
	for {
		select {
		case messages := <-s.inbox:
			s.step(messages)
		case p := <-s.proposals:
			s.propose(p)
		default:
			return
		}
	}
}

func (s *Source) step(messages []replica.Message) {
	for _, m := range messages {
		s.core.Step(m)
	}
}

func (s *Source) propose(p proposal) {
	raw, err := cbor.Marshal(Command{Manifest: *p.manifest, Submitted: time.Now().UTC()})
	if err != nil {
		p.answer <- Answer{Code: result.ManifestInvalid, Detail: err.Error()}
		return
	}
	index, term, err := s.core.Propose(raw)
	if err != nil {
		p.answer <- Answer{Code: result.NoQuorum, Detail: err.Error()}
		return
	}
	s.waiters[index] = waiter{term: term, answer: p.answer}
}

// settle carries out what the core decided, until nothing is left. After a
// failed write nothing is persisted, sent or accepted any more.
func (s *Source) settle() {
	if s.failed != nil {
		s.refuseAll()
		return
	}
	for ready := s.core.Ready(); !ready.Empty(); ready = s.core.Ready() {
		if err := s.disk.Save(ready); err != nil {
			s.failed = err
			s.log.Error(err, "data folder failed: this source accepts nothing")
			s.refuseAll()
			return
		}
		s.sendAll(ready.Messages)
		s.applySnapshot(ready.Snapshot)
		s.applyAll(ready.Committed)
		s.core.Advance(ready)
		s.compact(ready.Committed)
	}
}

// compactAfter is the number of entries after which a snapshot replaces them.
const compactAfter = 256

// compact makes a snapshot durable, then drops the entries it stands for.
func (s *Source) compact(committed []replica.Entry) {
	if len(committed) == 0 {
		return
	}
	last := committed[len(committed)-1]
	if last.Index-s.core.SnapshotIndex() < compactAfter {
		return
	}
	data, err := s.machine.encode()
	if err != nil {
		s.log.Error(err, "encode snapshot")
		return
	}
	snap := &replica.Snapshot{Index: last.Index, Term: last.Term, Data: data}
	if err := s.disk.Save(replica.Ready{Snapshot: snap}); err != nil {
		s.failed = err
		s.log.Error(err, "data folder failed: this source accepts nothing")
		return
	}
	s.core.Compact(last.Index, data)
}

func (s *Source) refuseAll() {
	for index, w := range s.waiters {
		w.answer <- Answer{Code: result.CommitUnknown, Detail: s.failed.Error()}
		delete(s.waiters, index)
	}
}

func (s *Source) sendAll(messages []replica.Message) {
	byPeer := map[string][]replica.Message{}
	for _, m := range messages {
		byPeer[m.To] = append(byPeer[m.To], m)
	}
	for to, list := range byPeer {
		s.transport.Send(to, list)
	}
}

func (s *Source) applySnapshot(snap *replica.Snapshot) {
	if snap == nil {
		return
	}
	restored, err := decodeMachine(snap.Data)
	if err != nil {
		s.failed = err
		s.log.Error(err, "snapshot of the leader cannot be read")
		return
	}
	s.machine = restored
	s.onAccept(s.machine.state)
}

func (s *Source) applyAll(entries []replica.Entry) {
	for _, e := range entries {
		answer := Answer{Code: result.CommitUnknown}
		if len(e.Data) > 0 {
			answer = s.applyOne(e)
		}
		if w, ok := s.waiters[e.Index]; ok {
			if w.term != e.Term {
				answer = Answer{Code: result.CommitUnknown, Detail: "another leader took over"}
			}
			w.answer <- answer
			delete(s.waiters, e.Index)
		}
	}
}

func (s *Source) applyOne(e replica.Entry) Answer {
	var c Command
	if err := cbor.Unmarshal(e.Data, &c); err != nil {
		return Answer{Code: result.ManifestInvalid, Detail: err.Error()}
	}
	answer := s.machine.apply(&c)
	if answer.Code == result.Accepted {
		s.log.Info("accepted", "mesh", c.Manifest.Mesh, "version", c.Manifest.Version, "fleet", answer.Fleet)
		s.onAccept(s.machine.state)
	}
	return answer
}

func (s *Source) publishStatus() {
	status := &Status{
		Role: s.core.Role().String(), Term: s.core.Term(), Lead: s.core.Lead(),
		Commit: s.core.Commit(), Version: s.machine.state.Version, Syncs: s.disk.Syncs(),
	}
	if s.failed != nil {
		status.Failure = s.failed.Error()
	}
	s.status.Store(status)
}

// History returns the accepted manifests, oldest first.
func (s *Source) History(ctx context.Context) ([]Accepted, error) {
	reply := make(chan []Accepted, 1)
	query := func(m *machine) { reply <- append([]Accepted(nil), m.history...) }
	select {
	case s.queries <- query:
		return <-reply, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "history")
	}
}

// Submit proposes a checked manifest here or at the leader, and waits for the
// commit until ctx ends.
func (s *Source) Submit(ctx context.Context, m *manifest.Manifest) (Answer, error) {
	status := s.Status()
	if status.Failure != "" {
		return Answer{Code: result.StorageFailed, Detail: status.Failure}, nil
	}
	if status.Role != replica.Leader.String() {
		if status.Lead == "" {
			return Answer{Code: result.NoQuorum, Detail: "no leader is known"}, nil
		}
		return s.transport.Submit(ctx, status.Lead, m)
	}
	p := proposal{manifest: m, answer: make(chan Answer, 1)}
	select {
	case s.proposals <- p:
	case <-ctx.Done():
		return Answer{Code: result.NoQuorum, Detail: "busy"}, nil
	}
	select {
	case answer := <-p.answer:
		return answer, nil
	case <-ctx.Done():
		return Answer{Code: result.CommitUnknown, Detail: "no commit in time"}, nil
	}
}
