package fleet

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

const (
	operatorTimeout = 30 * time.Second
	submitAgain     = 20 * time.Millisecond
	// operatorConnections are kept open to each source.
	operatorConnections = 64
)

// operators hands manifests to the sources as a build pipeline does.
type operators struct {
	http  *http.Client
	addrs []string
}

func newOperators(nodes []settings.Settings) *operators {
	o := &operators{http: &http.Client{
		Timeout:   operatorTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: operatorConnections},
	}}
	for _, n := range nodes[:sourceCount] {
		o.addrs = append(o.addrs, n.Listen.Operator)
	}
	return o
}

// submit tries the sources in turn, again and again, until one accepts or ctx
// ends. The same version with the same content may be sent any number of times.
func (o *operators) submit(ctx context.Context, m *manifest.Manifest) (uint64, error) {
	raw, err := yaml.Marshal(m)
	if err != nil {
		return 0, errors.Wrap(err, "encode manifest")
	}
	for try := 0; ; try++ {
		client := operator.Client{Addr: o.addrs[try%len(o.addrs)], HTTP: o.http}
		answer, err := client.Submit(ctx, raw)
		if err == nil && (answer.Code == result.Accepted || answer.Code == result.AlreadyAccepted) {
			return answer.Fleet, nil
		}
		if err == nil && answer.Code.Outcome() == result.NotRun && answer.Code != result.NoQuorum {
			return 0, errors.Newf("manifest refused: %s %s", answer.Code, answer.Detail)
		}
		select {
		case <-ctx.Done():
			return 0, errors.Wrapf(ctx.Err(), "manifest not accepted (%v, %s %s)", err, answer.Code, answer.Detail)
		case <-time.After(submitAgain):
		}
	}
}
