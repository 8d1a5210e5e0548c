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
	operatorTimeout     = 30 * time.Second
	submitRetryInterval = 20 * time.Millisecond
	// operatorConnections is the number of idle connections kept to each source.
	operatorConnections = 64
)

// submitter submits manifests to the sources as a build pipeline does.
type submitter struct {
	http  *http.Client
	addrs []string
}

func newSubmitter(nodes []settings.Settings) *submitter {
	s := &submitter{http: &http.Client{
		Timeout:   operatorTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: operatorConnections},
	}}
	for _, n := range nodes[:sourceCount] {
		s.addrs = append(s.addrs, n.Listen.Operator)
	}
	return s
}

// submit tries the sources in turn until one accepts the manifest or ctx ends. Submitting the same
// version with the same content again is safe.
func (s *submitter) submit(ctx context.Context, m *manifest.Manifest) (uint64, error) {
	raw, err := yaml.Marshal(m)
	if err != nil {
		return 0, errors.Wrap(err, "encode manifest")
	}
	for try := 0; ; try++ {
		client := operator.Client{Addr: s.addrs[try%len(s.addrs)], HTTP: s.http}
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
		case <-time.After(submitRetryInterval):
		}
	}
}
