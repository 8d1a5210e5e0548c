package baseline

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/daisygate/daisygate/internal/connection/peer"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

const (
	callTimeout = 2 * holdTimeout
	retryDelay  = 100 * time.Millisecond
)

// proxy fetches versions from the source and puts them in force.
type proxy struct {
	addr    string
	pool    *peer.Pool
	state   *fleet.State
	inForce atomic.Pointer[snapshot.Snapshot]
}

func newProxy(addr string, traffic *peer.Traffic) *proxy {
	return &proxy{addr: addr, pool: peer.NewPool(traffic), state: fleet.Empty()}
}

func (p *proxy) version() uint64 {
	snap := p.inForce.Load()
	if snap == nil {
		return 0
	}
	return snap.Version
}

func (p *proxy) run(ctx context.Context, mode Mode) {
	defer p.pool.Close()
	method := nextMethod
	if mode == Poll {
		method = pollMethod
		sleep(ctx, rand.N(PollInterval))
	}
	for ctx.Err() == nil {
		if err := p.fetch(ctx, method); err != nil {
			sleep(ctx, retryDelay)
		}
		if mode == Poll {
			sleep(ctx, PollInterval)
		}
	}
}

func (p *proxy) fetch(ctx context.Context, method string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response Response
	if err := p.pool.Call(ctx, p.addr, method, Request{Version: p.state.Version}, &response); err != nil {
		return err
	}
	if len(response.Delta) == 0 {
		return nil
	}
	delta, err := fleet.DecodeDelta(response.Delta)
	if err != nil {
		return err
	}
	next, err := p.state.Apply(delta)
	if err != nil {
		return err
	}
	compiled, err := snapshot.Compile(next)
	if err != nil {
		return err
	}
	p.state = next
	p.inForce.Store(compiled)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
