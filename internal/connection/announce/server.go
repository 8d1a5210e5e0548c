package announce

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/result"
)

// ServersPath is where servers announce themselves: PUT to announce or renew,
// DELETE with ?address= to withdraw.
const ServersPath = "/v1/servers"

const (
	maxBody        = 16 << 10
	expireInterval = 500 * time.Millisecond
)

// Server is the HTTP side of a Registry.
type Server struct {
	mu       sync.Mutex
	registry *Registry
	onChange func([]presence.Server)
}

// NewServer returns a server that calls onChange with each new set of servers.
func NewServer(onChange func([]presence.Server)) *Server {
	return &Server{registry: NewRegistry(), onChange: onChange}
}

// Handler returns the routes of the announcement listener.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(ServersPath, s.put).Methods(http.MethodPut)
	router.HandleFunc(ServersPath, s.delete).Methods(http.MethodDelete)
	return router
}

// Run drops expired leases until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.change(func() bool { return s.registry.Expire(now) })
		}
	}
}

func (s *Server) change(f func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f() {
		s.onChange(s.registry.Servers())
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		result.WriteHTTP(w, result.Errorf(result.AnnounceInvalid, "body: %v", err))
		return
	}
	var refused *result.Error
	s.change(func() bool {
		changed, err := s.registry.Put(time.Now(), a)
		refused = err
		return changed
	})
	if refused != nil {
		result.WriteHTTP(w, refused)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	address := r.URL.Query().Get("address")
	s.change(func() bool { return s.registry.Delete(address) })
	w.WriteHeader(http.StatusNoContent)
}
