package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Limits of the operator API of one daemon. There are only a few operators and pipelines; more
// requests than this come from a runaway loop.
const (
	// requestsPerSecond and requestBurst limit requests of all kinds.
	requestsPerSecond = 50
	requestBurst      = 100
	// maxConcurrentSubmits limits the manifests held in memory at the same time.
	maxConcurrentSubmits = 8
	// maxRequestBytes limits request bodies other than manifests.
	maxRequestBytes = 4 << 10
	// maxWithinSeconds is larger than any time limit that a rollout may have, and small enough
	// for a time.Duration.
	maxWithinSeconds = 1e9
	retryAfter       = time.Second
)

// Config is the configuration of the API, which is fixed for its lifetime.
type Config struct {
	// Token is the bearer token; if empty, only requests from loopback addresses are accepted,
	// without a token.
	Token string
	// ManifestBytes is the maximum size of a manifest.
	ManifestBytes int64
	// SubmitTimeout limits the wait for a commit.
	SubmitTimeout time.Duration
	// BodyTimeout limits the time for reading the body of one request. Default 10s.
	BodyTimeout time.Duration
	// Metrics serves MetricsPath; nil disables the path.
	Metrics http.Handler
}

const defaultBodyTimeout = 10 * time.Second

type api struct {
	cfg         Config
	backend     Backend
	limiter     *rate.Limiter
	submitSlots chan struct{}
}

// Handler returns the routes of the operator listener.
func Handler(cfg Config, backend Backend) http.Handler {
	if cfg.BodyTimeout == 0 {
		cfg.BodyTimeout = defaultBodyTimeout
	}
	a := &api{
		cfg: cfg, backend: backend,
		limiter:     rate.NewLimiter(requestsPerSecond, requestBurst),
		submitSlots: make(chan struct{}, maxConcurrentSubmits),
	}
	router := mux.NewRouter()
	router.HandleFunc(ManifestsPath, a.submit).Methods(http.MethodPost)
	router.HandleFunc(ManifestsPath+"/{mesh}", a.inForce).Methods(http.MethodGet)
	router.HandleFunc(StatusPath, a.status).Methods(http.MethodGet)
	router.HandleFunc(FleetPath, a.fleet).Methods(http.MethodGet)
	router.HandleFunc(HistoryPath, a.history).Methods(http.MethodGet)
	router.HandleFunc(DrainPath, a.drain).Methods(http.MethodPost)
	router.HandleFunc(DrainPath, a.drainStatus).Methods(http.MethodGet)
	router.HandleFunc(RolloutsPath, a.orderRollout).Methods(http.MethodPost)
	router.HandleFunc(RolloutsPath, a.rollout).Methods(http.MethodGet)
	router.HandleFunc(QuarantinePath, a.release).Methods(http.MethodPost)
	router.HandleFunc(QuarantinePath, a.quarantine).Methods(http.MethodGet)
	if cfg.Metrics != nil {
		router.Handle(MetricsPath, cfg.Metrics).Methods(http.MethodGet)
	}
	router.NotFoundHandler = result.RefuseHandler(result.UnknownResource)
	router.MethodNotAllowedHandler = result.RefuseHandler(result.WrongMethod)
	return a.admit(router)
}

// admit rejects requests without the token and requests above the rate limit. The token is
// checked first: requests without it must not use up the operators' rate limit.
func (a *api) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.authorized(r) {
			result.WriteHTTP(w, result.Errorf(result.Unauthorized, "want the header Authorization: Bearer, with the content of the daemon's operator.token_file"))
			return
		}
		if !a.limiter.Allow() {
			result.WriteHTTPRetry(w, result.Errorf(result.TooManyRequests, "at most %d requests a second", requestsPerSecond), retryAfter)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// authorized reports whether a request has the token. It compares digests in constant time, so
// that the response time reveals neither the content nor the length of the token.
func (a *api) authorized(r *http.Request) bool {
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
	select {
	case a.submitSlots <- struct{}{}:
		defer func() { <-a.submitSlots }()
	default:
		result.WriteHTTPRetry(w, result.Errorf(result.TooManyRequests, "at most %d manifests at a time", maxConcurrentSubmits), retryAfter)
		return
	}
	raw, refused := a.readBody(w, r, a.cfg.ManifestBytes)
	if refused != nil {
		result.WriteHTTP(w, refused)
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
	writeJSON(w, answer.Code, answer)
}

// readBody reads a body of at most limit bytes. The read deadline covers the body only: if it
// remained set, it would cancel the context of the request while the request waits for the
// backend.
func (a *api) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *result.Error) {
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(a.cfg.BodyTimeout))
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		_ = conn.SetReadDeadline(time.Time{})
		return raw, nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.Errorf(result.InputTooLarge, "want at most %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, result.Errorf(result.BadRequest, "request body was not received within %s", a.cfg.BodyTimeout)
	}
	return nil, result.Errorf(result.BadRequest, "body: %v", err)
}

func (a *api) inForce(w http.ResponseWriter, r *http.Request) {
	m, refused := a.backend.InForce(r.Context(), mux.Vars(r)["mesh"])
	writeResult(w, m, refused)
}

func (a *api) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, result.Answered, a.backend.NodeStatus())
}

func (a *api) fleet(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, result.Answered, a.backend.Fleet(r.Context(), r.URL.Query().Get(allParameter) == "true"))
}

func (a *api) history(w http.ResponseWriter, r *http.Request) {
	request, refused := historyRequest(r)
	if refused != nil {
		result.WriteHTTP(w, refused)
		return
	}
	history, err := a.backend.History(r.Context(), request)
	if err != nil {
		result.WriteHTTP(w, result.Errorf(result.NotSource, "%v", err))
		return
	}
	writeJSON(w, result.Answered, history)
}

func historyRequest(r *http.Request) (source.HistoryRequest, *result.Error) {
	query := r.URL.Query()
	request := source.HistoryRequest{Mesh: query.Get(meshParameter)}
	text := query.Get(limitParameter)
	if text == "" {
		return request, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 0 {
		return request, result.Errorf(result.BadRequest, "%s: want 0 to %d, got %q", limitParameter, source.MaxHistory, text)
	}
	request.Limit = limit
	return request, nil
}

func (a *api) drain(w http.ResponseWriter, r *http.Request) {
	var request DrainRequest
	if !a.decode(w, r, &request, `{"node": NAME, "server": "ip:port", "undo": BOOL}`) {
		return
	}
	status, refused := a.backend.Drain(r.Context(), request)
	writeResult(w, status, refused)
}

func (a *api) drainStatus(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	status, refused := a.backend.DrainStatus(r.Context(), DrainRequest{Node: query.Get("node"), Server: query.Get("server")})
	writeResult(w, status, refused)
}

func (a *api) release(w http.ResponseWriter, r *http.Request) {
	var request ReleaseRequest
	if !a.decode(w, r, &request, `{"fingerprint": "16 hexadecimal digits"}`) {
		return
	}
	status, refused := a.backend.Release(request)
	writeResult(w, status, refused)
}

func (a *api) quarantine(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, a.backend.Quarantine(), nil)
}

// decode parses the small JSON body of a request into dst; want is the expected format, for the
// error message. If it returns false, it has written the error response.
func (a *api) decode(w http.ResponseWriter, r *http.Request, dst any, want string) bool {
	raw, refused := a.readBody(w, r, maxRequestBytes)
	if refused != nil {
		result.WriteHTTP(w, refused)
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(dst); err != nil {
		result.WriteHTTP(w, result.Errorf(result.BadRequest, "body: %v; want %s", err, want))
		return false
	}
	return true
}

func (a *api) orderRollout(w http.ResponseWriter, r *http.Request) {
	var request RolloutRequest
	if !a.decode(w, r, &request, `{"mesh": NAME, "service": NAME, "target": VERSION, "within_seconds": NUMBER}, or "abort": true for the last two`) {
		return
	}
	within := time.Duration(min(request.WithinSeconds, maxWithinSeconds) * float64(time.Second))
	ctx, cancel := context.WithTimeout(r.Context(), a.cfg.SubmitTimeout)
	defer cancel()
	response, err := a.backend.OrderRollout(ctx, &source.RolloutOrder{ServiceName: request.Name(), Target: request.Target, Within: within, Abort: request.Abort})
	if err != nil {
		response = source.Answer{Code: result.CommitUnknown, Detail: err.Error()}
	}
	writeJSON(w, response.Code, response)
}

func (a *api) rollout(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	name := source.ServiceName{Mesh: query.Get(meshParameter), Service: query.Get(serviceParameter)}
	response, err := a.backend.NewestRollout(r.Context(), name)
	if err != nil {
		response = source.Answer{Code: result.NoQuorum, Detail: err.Error()}
	}
	writeJSON(w, response.Code, response)
}

func writeResult(w http.ResponseWriter, v any, refused *result.Error) {
	if refused != nil {
		result.WriteHTTP(w, refused)
		return
	}
	writeJSON(w, result.Answered, v)
}

func writeJSON(w http.ResponseWriter, code result.Code, v any) {
	w.Header().Set("Content-Type", "application/json")
	result.SetHeaders(w.Header(), code)
	w.WriteHeader(code.HTTPStatus())
	_ = json.NewEncoder(w).Encode(v)
}
