// Package operator is the operators' HTTP API and its client: manifests in,
// status and history out.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/daisygate/daisygate/internal/process/mesh"
	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// The paths of the API.
const (
	ManifestsPath = "/v1/manifests"
	StatusPath    = "/v1/status"
	FleetPath     = "/v1/fleet"
	HistoryPath   = "/v1/history"
)

// NodeStatus is what one daemon tells of itself.
type NodeStatus struct {
	Node   string         `json:"node"`
	Domain string         `json:"domain"`
	Ready  bool           `json:"ready"`
	Mesh   mesh.Status    `json:"mesh"`
	Source *source.Status `json:"source,omitempty"`
	// ControlSent and ControlReceived are bytes since the start.
	ControlSent     uint64 `json:"control_sent"`
	ControlReceived uint64 `json:"control_received"`
}

// FleetNode is one daemon as seen in the fleet.
type FleetNode struct {
	Node    string            `json:"node"`
	Domain  string            `json:"domain"`
	Version uint64            `json:"version"`
	Servers []presence.Server `json:"servers,omitempty"`
	// Error is why the daemon gave no version, or "".
	Error string `json:"error,omitempty"`
}

// Backend is what the API is built on: the daemon.
type Backend interface {
	Submit(ctx context.Context, m *manifest.Manifest) (source.Answer, error)
	NodeStatus() NodeStatus
	Fleet(ctx context.Context) []FleetNode
	History(ctx context.Context) ([]source.Accepted, error)
}

// Config is fixed for the life of the API.
type Config struct {
	// Token is the bearer token; empty lets loopback addresses in without one.
	Token string
	// ManifestBytes is the largest manifest taken.
	ManifestBytes int64
	// SubmitTimeout bounds the wait for a commit.
	SubmitTimeout time.Duration
}

type api struct {
	cfg     Config
	backend Backend
}

// Handler returns the routes of the operator listener.
func Handler(cfg Config, backend Backend) http.Handler {
	a := &api{cfg: cfg, backend: backend}
	router := mux.NewRouter()
	router.HandleFunc(ManifestsPath, a.submit).Methods(http.MethodPost)
	router.HandleFunc(StatusPath, a.status).Methods(http.MethodGet)
	router.HandleFunc(FleetPath, a.fleet).Methods(http.MethodGet)
	router.HandleFunc(HistoryPath, a.history).Methods(http.MethodGet)
	return a.authorize(router)
}

func (a *api) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.allowed(r) {
			result.WriteHTTP(w, result.Errorf(result.Unauthorized, "want Authorization: Bearer"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a *api) allowed(r *http.Request) bool {
	if a.cfg.Token == "" {
		from, err := netip.ParseAddrPort(r.RemoteAddr)
		return err == nil && from.Addr().IsLoopback()
	}
	given, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	want := sha256.Sum256([]byte(a.cfg.Token))
	got := sha256.Sum256([]byte(given))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

func (a *api) submit(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.cfg.ManifestBytes))
	if err != nil {
		result.WriteHTTP(w, result.Errorf(result.InputTooLarge, "manifest: %v", err))
		return
	}
	m, err := manifest.Parse(raw)
	if err != nil {
		result.WriteHTTP(w, result.Errorf(result.ManifestInvalid, "%v", err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.cfg.SubmitTimeout)
	defer cancel()
	answer, err := a.backend.Submit(ctx, m)
	if err != nil {
		answer = source.Answer{Code: result.CommitUnknown, Detail: err.Error()}
	}
	result.SetHeaders(w.Header(), answer.Code)
	writeJSON(w, answer.Code.HTTPStatus(), answer)
}

func (a *api) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.backend.NodeStatus())
}

func (a *api) fleet(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, a.backend.Fleet(r.Context()))
}

func (a *api) history(w http.ResponseWriter, r *http.Request) {
	history, err := a.backend.History(r.Context())
	if err != nil {
		result.WriteHTTP(w, result.Errorf(result.NotSource, "%v", err))
		return
	}
	writeJSON(w, http.StatusOK, history)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Client calls the API of one daemon.
type Client struct {
	// Addr is the operator address, "ip:port".
	Addr  string
	Token string
	HTTP  *http.Client
}

// Submit sends a manifest. The answer is valid when err is nil, whatever its
// code.
func (c *Client) Submit(ctx context.Context, raw []byte) (source.Answer, error) {
	var answer source.Answer
	err := c.do(ctx, http.MethodPost, ManifestsPath, strings.NewReader(string(raw)), &answer)
	return answer, err
}

// Status asks for the daemon's own status.
func (c *Client) Status(ctx context.Context) (NodeStatus, error) {
	var status NodeStatus
	return status, c.do(ctx, http.MethodGet, StatusPath, nil, &status)
}

// Fleet asks for the versions in force everywhere.
func (c *Client) Fleet(ctx context.Context) ([]FleetNode, error) {
	var nodes []FleetNode
	return nodes, c.do(ctx, http.MethodGet, FleetPath, nil, &nodes)
}

// History asks for the accepted manifests.
func (c *Client) History(ctx context.Context) ([]source.Accepted, error) {
	var history []source.Accepted
	return history, c.do(ctx, http.MethodGet, HistoryPath, nil, &history)
}

func (c *Client) do(ctx context.Context, method, path string, body io.Reader, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addr+path, body)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return result.Errorf(result.Unreachable, "%v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return result.Errorf(result.Unreachable, "answer cut: %v", err)
	}
	return errors.Wrap(json.Unmarshal(raw, into), "decode answer")
}
