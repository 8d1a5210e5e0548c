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

// Client calls the API of one daemon. A refusal comes back as *result.Error.
type Client struct {
	// Addr is the operator address, "ip:port".
	Addr  string
	Token string
	HTTP  *http.Client
}

// Submit sends a manifest. On a nil error it was accepted, now or before. A
// refusal is an *result.Error, and the answer then names the winner where
// there is one.
func (c *Client) Submit(ctx context.Context, raw []byte) (source.Answer, error) {
	var answer source.Answer
	err := c.do(ctx, http.MethodPost, ManifestsPath, raw, &answer)
	return answer, err
}

// Status asks for the daemon's own status.
func (c *Client) Status(ctx context.Context) (NodeStatus, error) {
	var status NodeStatus
	return status, c.do(ctx, http.MethodGet, StatusPath, nil, &status)
}

// Fleet asks for the versions in force everywhere; all lists every daemon of a
// large fleet too.
func (c *Client) Fleet(ctx context.Context, all bool) (Fleet, error) {
	var fleet Fleet
	path := FleetPath + "?" + url.Values{allParameter: {strconv.FormatBool(all)}}.Encode()
	return fleet, c.do(ctx, http.MethodGet, path, nil, &fleet)
}

// History asks for the newest accepted manifests, oldest first.
func (c *Client) History(ctx context.Context, r source.HistoryRequest) ([]source.Accepted, error) {
	var history []source.Accepted
	query := url.Values{meshParameter: {r.Mesh}, limitParameter: {strconv.Itoa(r.Limit)}}
	return history, c.do(ctx, http.MethodGet, HistoryPath+"?"+query.Encode(), nil, &history)
}

// InForce asks for the manifest of a mesh that the daemon has in force.
func (c *Client) InForce(ctx context.Context, mesh string) (InForce, error) {
	var m InForce
	return m, c.do(ctx, http.MethodGet, ManifestsPath+"/"+url.PathEscape(mesh), nil, &m)
}

// Drain begins or undoes a drain; repeating it is safe.
func (c *Client) Drain(ctx context.Context, r DrainRequest) (DrainStatus, error) {
	var status DrainStatus
	raw, err := json.Marshal(r)
	if err != nil {
		return status, errors.Wrap(err, "encode drain")
	}
	return status, c.do(ctx, http.MethodPost, DrainPath, raw, &status)
}

// DrainStatus asks how far a drain has come.
func (c *Client) DrainStatus(ctx context.Context, r DrainRequest) (DrainStatus, error) {
	var status DrainStatus
	query := url.Values{"node": {r.Node}, "server": {r.Server}}
	return status, c.do(ctx, http.MethodGet, DrainPath+"?"+query.Encode(), nil, &status)
}

// OrderRollout orders a roll-out or its end; repeating it is safe.
func (c *Client) OrderRollout(ctx context.Context, r RolloutRequest) (source.Answer, error) {
	var answer source.Answer
	raw, err := json.Marshal(r)
	if err != nil {
		return answer, errors.Wrap(err, "encode roll-out")
	}
	return answer, c.do(ctx, http.MethodPost, RolloutsPath, raw, &answer)
}

// Rollout asks for the newest roll-out of a service.
func (c *Client) Rollout(ctx context.Context, name source.ServiceName) (source.Answer, error) {
	var answer source.Answer
	query := url.Values{meshParameter: {name.Mesh}, serviceParameter: {name.Service}}
	return answer, c.do(ctx, http.MethodGet, RolloutsPath+"?"+query.Encode(), nil, &answer)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return lost(method, c.Addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return lost(method, c.Addr, err)
	}
	return decode(resp, raw, into)
}

// lost tells what a broken connection means: a failed dial changed nothing;
// any other loss leaves it open whether a change was carried out.
func lost(method, addr string, err error) error {
	var op *net.OpError
	dial := errors.As(err, &op) && op.Op == "dial"
	if dial || method == http.MethodGet {
		return result.Errorf(result.Unreachable, "no daemon answers at %s (%v)", addr, cause(err))
	}
	return result.Errorf(result.CommitUnknown, "the connection to %s was lost before the answer came (%v)", addr, cause(err))
}

// cause leaves out the method and address that url.Error puts before it.
func cause(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}

func decode(resp *http.Response, raw []byte, into any) error {
	number, err := strconv.Atoi(resp.Header.Get(result.HeaderResult))
	if err != nil {
		return result.Errorf(result.Unreachable, "what answers is no operator API of daisygate: %s without a %s header", resp.Status, result.HeaderResult)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return errors.Wrap(json.Unmarshal(raw, into), "decode answer")
	}
	var refusal struct {
		Detail string          `json:"detail"`
		Winner json.RawMessage `json:"winner"`
	}
	if err := json.Unmarshal(raw, &refusal); err != nil {
		return errors.Wrap(err, "decode refusal")
	}
	if len(refusal.Winner) > 0 {
		_ = json.Unmarshal(raw, into)
	}
	return result.Errorf(result.Code(number), "%s", refusal.Detail)
}
