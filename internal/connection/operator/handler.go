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

// The admission of one daemon's operator API. Operators and their pipelines
// are few; what is above this is a loop gone wild.
const (
	// requestsPerSecond and requestBurst bound requests of any kind.
	requestsPerSecond = 50
	requestBurst      = 100
	// submitsAtOnce bounds manifests held in memory at a time.
	submitsAtOnce = 8
	// orderBytes is the largest body of an order that is no manifest.
	orderBytes = 4 << 10
	// maxSeconds is above every time that an order may name, and fits a time.Duration.
	maxSeconds = 1e9
	retryAfter = time.Second
)

// Config is fixed for the life of the API.
type Config struct {
	// Token is the bearer token; empty lets loopback addresses in without one.
	Token string
	// ManifestBytes is the largest manifest taken.
	ManifestBytes int64
	// SubmitTimeout bounds the wait for a commit.
	SubmitTimeout time.Duration
	// BodyTimeout bounds the reading of one request's body. Default 10s.
	BodyTimeout time.Duration
	// Metrics answers MetricsPath; nil answers nothing there.
	Metrics http.Handler
}

const defaultBodyTimeout = 10 * time.Second

type api struct {
	cfg     Config
	backend Backend
	limiter *rate.Limiter
	submits chan struct{}
}

// Handler returns the routes of the operator listener.
func Handler(cfg Config, backend Backend) http.Handler {
	if cfg.BodyTimeout == 0 {
		cfg.BodyTimeout = defaultBodyTimeout
	}
	a := &api{
		cfg: cfg, backend: backend,
		limiter: rate.NewLimiter(requestsPerSecond, requestBurst),
		submits: make(chan struct{}, submitsAtOnce),
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
	if cfg.Metrics != nil {
		router.Handle(MetricsPath, cfg.Metrics).Methods(http.MethodGet)
	}
	router.NotFoundHandler = result.Refuse(result.UnknownResource)
	router.MethodNotAllowedHandler = result.Refuse(result.WrongMethod)
	return a.admit(router)
}

// admit lets in what has the token and comes no faster than the limit. The
// token goes first: who has none cannot use up the operators' share.
func (a *api) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.allowed(r) {
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

// allowed compares digests in constant time, so that neither the content nor
// the length of the token shows in the time taken.
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
	select {
	case a.submits <- struct{}{}:
		defer func() { <-a.submits }()
	default:
		result.WriteHTTPRetry(w, result.Errorf(result.TooManyRequests, "at most %d manifests at a time", submitsAtOnce), retryAfter)
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

// readBody reads a body of at most limit bytes. The deadline is for the body
// alone: one left standing would cancel the request's context while it waits.
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
		return nil, result.Errorf(result.InputTooLarge, "at most %d bytes are taken", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, result.Errorf(result.BadRequest, "the body did not come within %s", a.cfg.BodyTimeout)
	}
	return nil, result.Errorf(result.BadRequest, "body: %v", err)
}

func (a *api) inForce(w http.ResponseWriter, r *http.Request) {
	m, refused := a.backend.InForce(r.Context(), mux.Vars(r)["mesh"])
	answer(w, m, refused)
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
	var order DrainRequest
	if !a.decode(w, r, &order, `{"node": NAME, "server": "ip:port", "undo": BOOL}`) {
		return
	}
	status, refused := a.backend.Drain(r.Context(), order)
	answer(w, status, refused)
}

func (a *api) drainStatus(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	status, refused := a.backend.DrainStatus(r.Context(), DrainRequest{Node: query.Get("node"), Server: query.Get("server")})
	answer(w, status, refused)
}

// decode reads the JSON body of a small order; want shows what it looks like. With false the
// answer was given.
func (a *api) decode(w http.ResponseWriter, r *http.Request, order any, want string) bool {
	raw, refused := a.readBody(w, r, orderBytes)
	if refused != nil {
		result.WriteHTTP(w, refused)
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(order); err != nil {
		result.WriteHTTP(w, result.Errorf(result.BadRequest, "body: %v; want %s", err, want))
		return false
	}
	return true
}

func (a *api) orderRollout(w http.ResponseWriter, r *http.Request) {
	var order RolloutRequest
	if !a.decode(w, r, &order, `{"mesh": NAME, "service": NAME, "target": VERSION, "within_seconds": NUMBER}, or "abort": true for the last two`) {
		return
	}
	within := time.Duration(min(order.WithinSeconds, maxSeconds) * float64(time.Second))
	ctx, cancel := context.WithTimeout(r.Context(), a.cfg.SubmitTimeout)
	defer cancel()
	told, err := a.backend.OrderRollout(ctx, &source.RolloutOrder{ServiceName: order.Name(), Target: order.Target, Within: within, Abort: order.Abort})
	if err != nil {
		told = source.Answer{Code: result.CommitUnknown, Detail: err.Error()}
	}
	writeJSON(w, told.Code, told)
}

func (a *api) rollout(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	name := source.ServiceName{Mesh: query.Get(meshParameter), Service: query.Get(serviceParameter)}
	told, err := a.backend.NewestRollout(r.Context(), name)
	if err != nil {
		told = source.Answer{Code: result.NoQuorum, Detail: err.Error()}
	}
	writeJSON(w, told.Code, told)
}

func answer(w http.ResponseWriter, v any, refused *result.Error) {
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
