package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
)

// Client calls the operator API of one daemon. A refusal is returned as *result.Error.
type Client struct {
	// Addr is the operator address, "ip:port".
	Addr  string
	Token string
	HTTP  *http.Client
}

// Submit sends a manifest. A nil error means that it was accepted, by this call or an earlier
// one. A refusal is an *result.Error; if another manifest won, the answer names it.
func (c *Client) Submit(ctx context.Context, raw []byte) (source.Answer, error) {
	var answer source.Answer
	err := c.do(ctx, http.MethodPost, ManifestsPath, raw, &answer)
	return answer, err
}

// Status returns the status of the daemon itself.
func (c *Client) Status(ctx context.Context) (NodeStatus, error) {
	var status NodeStatus
	return status, c.do(ctx, http.MethodGet, StatusPath, nil, &status)
}

// Fleet returns the versions in force on all daemons. With all, it lists every daemon even of a
// large fleet.
func (c *Client) Fleet(ctx context.Context, all bool) (Fleet, error) {
	var fleet Fleet
	path := FleetPath + "?" + url.Values{allParameter: {strconv.FormatBool(all)}}.Encode()
	return fleet, c.do(ctx, http.MethodGet, path, nil, &fleet)
}

// History returns the newest accepted manifests, the oldest of them first.
func (c *Client) History(ctx context.Context, r source.HistoryRequest) ([]source.HistoryEntry, error) {
	var history []source.HistoryEntry
	query := url.Values{meshParameter: {r.Mesh}, limitParameter: {strconv.Itoa(r.Limit)}}
	return history, c.do(ctx, http.MethodGet, HistoryPath+"?"+query.Encode(), nil, &history)
}

// InForce returns the manifest of a mesh that is in force on the daemon.
func (c *Client) InForce(ctx context.Context, mesh string) (InForce, error) {
	var m InForce
	return m, c.do(ctx, http.MethodGet, ManifestsPath+"/"+url.PathEscape(mesh), nil, &m)
}

// Drain starts or cancels a drain; it is idempotent.
func (c *Client) Drain(ctx context.Context, r DrainRequest) (DrainStatus, error) {
	var status DrainStatus
	raw, err := json.Marshal(r)
	if err != nil {
		return status, errors.Wrap(err, "encode drain")
	}
	return status, c.do(ctx, http.MethodPost, DrainPath, raw, &status)
}

// DrainStatus returns the progress of a drain.
func (c *Client) DrainStatus(ctx context.Context, r DrainRequest) (DrainStatus, error) {
	var status DrainStatus
	query := url.Values{"node": {r.Node}, "server": {r.Server}}
	return status, c.do(ctx, http.MethodGet, DrainPath+"?"+query.Encode(), nil, &status)
}

// Quarantine returns the quarantined requests of the fleet.
func (c *Client) Quarantine(ctx context.Context) (QuarantineStatus, error) {
	var status QuarantineStatus
	return status, c.do(ctx, http.MethodGet, QuarantinePath, nil, &status)
}

// Release ends the refusal of a request, and returns the requests that are still quarantined.
func (c *Client) Release(ctx context.Context, r ReleaseRequest) (QuarantineStatus, error) {
	var status QuarantineStatus
	raw, err := json.Marshal(r)
	if err != nil {
		return status, errors.Wrap(err, "encode release")
	}
	return status, c.do(ctx, http.MethodPost, QuarantinePath, raw, &status)
}

// OrderRollout starts or aborts a rollout; it is idempotent.
func (c *Client) OrderRollout(ctx context.Context, r RolloutRequest) (source.Answer, error) {
	var answer source.Answer
	raw, err := json.Marshal(r)
	if err != nil {
		return answer, errors.Wrap(err, "encode rollout")
	}
	return answer, c.do(ctx, http.MethodPost, RolloutsPath, raw, &answer)
}

// Rollout returns the newest rollout of a service.
func (c *Client) Rollout(ctx context.Context, name source.ServiceName) (source.Answer, error) {
	var answer source.Answer
	query := url.Values{meshParameter: {name.Mesh}, serviceParameter: {name.Service}}
	return answer, c.do(ctx, http.MethodGet, RolloutsPath+"?"+query.Encode(), nil, &answer)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, dst any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return connectionError(method, c.Addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return connectionError(method, c.Addr, err)
	}
	return decode(resp, raw, dst)
}

// connectionError converts a transport error. After a failed dial nothing was changed; after
// any other error of a request that changes something, it is unknown whether the change was
// made.
func connectionError(method, addr string, err error) error {
	var opErr *net.OpError
	dialFailed := errors.As(err, &opErr) && opErr.Op == "dial"
	if dialFailed || method == http.MethodGet {
		return result.Errorf(result.Unreachable, "no daemon answers at %s (%v)", addr, unwrapURLError(err))
	}
	return result.Errorf(result.CommitUnknown, "the connection to %s was lost before the answer came (%v)", addr, unwrapURLError(err))
}

// unwrapURLError removes the method and URL that url.Error adds.
func unwrapURLError(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}

func decode(resp *http.Response, raw []byte, dst any) error {
	number, err := strconv.Atoi(resp.Header.Get(result.HeaderResult))
	if err != nil {
		return result.Errorf(result.Unreachable, "the response is not from a daisygate operator API: %s without a %s header", resp.Status, result.HeaderResult)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return errors.Wrap(json.Unmarshal(raw, dst), "decode answer")
	}
	var refusal struct {
		Detail string          `json:"detail"`
		Winner json.RawMessage `json:"winner"`
	}
	if err := json.Unmarshal(raw, &refusal); err != nil {
		return errors.Wrap(err, "decode refusal")
	}
	if len(refusal.Winner) > 0 {
		_ = json.Unmarshal(raw, dst)
	}
	return result.Errorf(result.Code(number), "%s", refusal.Detail)
}
