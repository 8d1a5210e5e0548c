package announce

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/daisygate/daisygate/internal/process/leaves"
	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/result"
)

// ServersPath is the path for announcements: PUT announces a server or renews its lease, DELETE
// with ?address= removes it.
const ServersPath = "/v1/servers"

const (
	maxBodyBytes   = 16 << 10
	bodyTimeout    = 5 * time.Second
	expireInterval = 500 * time.Millisecond
	probeInterval  = time.Second
	// probeTimeout is long so that a busy instance is not mistaken for a failed server.
	probeTimeout = 2 * time.Second
)

// Server is the HTTP interface of a Registry.
type Server struct {
	mu       sync.Mutex
	registry *Registry
	onChange func([]presence.Server)
	// probeEnabled is set if servers are dialled periodically to check whether they can be
	// reached.
	probeEnabled bool
	// probing is set while dials are in progress.
	probing atomic.Bool
	// Admit refuses valid announcements that are not from a server intended for this instance;
	// nil accepts all. It must not call methods of the Server.
	Admit func(a *Announcement) *result.Error
	// OnAnnouncement is called with the outcome of each announcement; nil disables it. It must
	// be set before Run is called, and must not call methods of the Server.
	OnAnnouncement func(a *Announcement, v Verdict, refused *result.Error)
	// OnEnd is called for each boot that is removed because it has ended; nil disables it. The
	// conditions of OnAnnouncement apply.
	OnEnd func(boot string, started int64, registered bool)
	// Retain retains the leave of a server beyond the end of this process, and returns the reason
	// if that is not known to have succeeded; nil retains none.
	Retain func(ctx context.Context, l leaves.Leave) *result.Error
}

// NewServer returns a server that calls onChange with each new set of servers. With probe, it
// dials each server once a second to check whether it can be reached.
func NewServer(probe bool, onChange func([]presence.Server)) *Server {
	return &Server{registry: NewRegistry(), probeEnabled: probe, onChange: onChange}
}

// AdvertiseColdStart publishes which servers are slow after their start. It must be called
// before Run.
func (s *Server) AdvertiseColdStart() { s.registry.advertiseCold = true }

// AwaitRestore publishes no server as accepting requests before Restore is called. It must be
// called before Run.
func (s *Server) AwaitRestore() { s.registry.restoring = true }

// Announce processes an announcement and returns the reason if it is refused. The leave of a
// server is in force at once, and acknowledged once it is retained.
func (s *Server) Announce(ctx context.Context, a Announcement) *result.Error {
	var refused *result.Error
	var leave leaves.Leave
	s.update(func() bool {
		now := time.Now()
		verdict, err := s.put(now, &a)
		refused = err
		s.notifyAnnouncement(&a, verdict, err)
		if err == nil && a.leaving() {
			leave = s.registry.leaveOf(now, &a)
		}
		changed := verdict == Changed
		if err == nil && !verdict.Ignored() && !s.probeEnabled {
			// An announcement shows that the server is running: without probes, only
			// failed requests count as dial failures.
			changed = s.registry.RecordDial(now, a.Address, true) || changed
		}
		return changed
	})
	if refused != nil {
		return refused
	}
	return s.retain(ctx, leave)
}

// retain retains a leave, unless it is empty or of a server without a boot ID: nothing else tells
// the next start of such a server apart.
func (s *Server) retain(ctx context.Context, l leaves.Leave) *result.Error {
	if s.Retain == nil || l.Boot == "" {
		return nil
	}
	return s.Retain(ctx, l)
}

func (s *Server) put(now time.Time, a *Announcement) (Verdict, *result.Error) {
	if s.Admit != nil {
		if refused := s.Admit(a); refused != nil {
			return 0, refused
		}
	}
	v, refused := s.registry.Put(now, *a)
	if refused == nil && v.Ignored() && a.leaving() && s.registry.sendsRequestsTo(a.Address, a.Boot) {
		refused = result.Errorf(result.LeaveContested, "boot %q started at %d, sequence %d: another announcement of this boot ID is in force", a.Boot, a.Started, a.Sequence)
	}
	return v, refused
}

func (s *Server) notifyAnnouncement(a *Announcement, v Verdict, refused *result.Error) {
	if s.OnAnnouncement != nil {
		s.OnAnnouncement(a, v, refused)
	}
}

// EndRun removes a boot of a server that has ended. started is its start time, or 0 for any. It
// returns the reason if the end could not be retained.
func (s *Server) EndRun(ctx context.Context, boot string, started int64) *result.Error {
	s.update(func() bool {
		registered := s.registry.End(time.Now(), boot, started)
		if s.OnEnd != nil {
			s.OnEnd(boot, started, registered)
		}
		return registered
	})
	return s.retainEnd(ctx, boot)
}

// retainEnd retains the end of a boot.
func (s *Server) retainEnd(ctx context.Context, boot string) *result.Error {
	s.mu.Lock()
	leave, _ := s.registry.departed.find(time.Now(), boot)
	s.mu.Unlock()
	return s.retain(ctx, leave)
}

// Restore adds the leaves that earlier processes of the daemon acknowledged. Until then no server
// is published as accepting requests if AwaitRestore was called.
func (s *Server) Restore(retained []leaves.Leave) {
	s.update(func() bool { return s.registry.Restore(time.Now(), retained) })
}

// RecordDialFailure records that a connection to the server was refused.
func (s *Server) RecordDialFailure(address string) {
	s.update(func() bool { return s.registry.RecordDial(time.Now(), address, false) })
}

// RecordLeaving records that a boot of the server at an address has stated in a response that it
// is about to stop.
func (s *Server) RecordLeaving(address, boot string, started int64) {
	s.update(func() bool { return s.registry.RecordLeaving(time.Now(), address, boot, started) })
}

// RecordMisdirected records that a boot other than the given one responded at the address of
// a server.
func (s *Server) RecordMisdirected(address, boot string) {
	s.update(func() bool { return s.registry.RecordMisdirected(time.Now(), address, boot) })
}

// Handler returns the routes of the announcement listener. It accepts requests from the same
// instance only.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(ServersPath, s.servePut).Methods(http.MethodPut)
	router.HandleFunc(ServersPath, s.serveDelete).Methods(http.MethodDelete)
	router.NotFoundHandler = result.RefuseHandler(result.UnknownResource)
	router.MethodNotAllowedHandler = result.RefuseHandler(result.WrongMethod)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !sameInstance(r) {
			result.WriteHTTP(w, result.Errorf(result.AnnounceRemote, "from %s", r.RemoteAddr))
			return
		}
		router.ServeHTTP(w, r)
	})
}

// sameInstance reports whether a request comes from a loopback address or from the address to
// which it was sent.
func sameInstance(r *http.Request) bool {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if from.Addr().Unmap().IsLoopback() || local == nil {
		return from.Addr().Unmap().IsLoopback()
	}
	to, err := netip.ParseAddrPort(local.String())
	return err == nil && to.Addr().Unmap() == from.Addr().Unmap()
}

// Run removes expired leases and dials the servers until ctx ends.
func (s *Server) Run(ctx context.Context) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	dial := time.NewTicker(probeInterval)
	defer dial.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-expire.C:
			s.update(func() bool { return s.registry.Expire(now) })
		case <-dial.C:
			if s.probeEnabled && s.probing.CompareAndSwap(false, true) {
				go s.probeAll()
			}
		}
	}
}

// probeAll dials all servers concurrently.
func (s *Server) probeAll() {
	defer s.probing.Store(false)
	s.mu.Lock()
	servers := s.registry.Servers()
	s.mu.Unlock()
	var wait sync.WaitGroup
	for _, server := range servers {
		wait.Go(func() {
			reached := canDial(server.Addr)
			s.update(func() bool { return s.registry.RecordDial(time.Now(), server.Addr, reached) })
		})
	}
	wait.Wait()
}

func canDial(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, probeTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (s *Server) update(f func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f() {
		s.onChange(s.registry.Servers())
	}
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	a, err := decode(w, r)
	if err != nil {
		result.WriteHTTP(w, bodyError(err))
		return
	}
	if refused := s.Announce(r.Context(), a); refused != nil {
		result.WriteHTTP(w, refused)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// decode reads exactly one announcement.
func decode(w http.ResponseWriter, r *http.Request) (Announcement, error) {
	var a Announcement
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		return a, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return a, errors.New("more than one JSON value")
	}
	return a, nil
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	address := r.URL.Query().Get("address")
	if address == "" {
		result.WriteHTTP(w, result.Errorf(result.AnnounceInvalid, "address: is required"))
		return
	}
	boot := ""
	s.update(func() (known bool) {
		boot, known = s.registry.Delete(address)
		return known
	})
	if refused := s.retainEnd(r.Context(), boot); refused != nil {
		result.WriteHTTP(w, refused)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// bodyError distinguishes a body that is too large from one that is not a valid announcement.
func bodyError(err error) *result.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.Errorf(result.InputTooLarge, "announcement: want at most %d bytes", tooLarge.Limit)
	}
	return result.Errorf(result.AnnounceInvalid, "body: %v", err)
}
