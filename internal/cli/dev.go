package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"
	"go.uber.org/zap/zapcore"

	"github.com/daisygate/daisygate/examples"
	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/dev"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/process/telemetry"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

const (
	// devWaitTimeout is the timeout for each step of starting the mesh or
	// applying a manifest.
	devWaitTimeout = time.Minute
	// devPollInterval is the time between two attempts.
	devPollInterval = 50 * time.Millisecond
)

// devOptions are the flags of the dev command.
type devOptions struct {
	demo bool
	// rollouts runs the rollout demonstration; the backend servers then
	// announce their software version.
	rollouts bool
	verbose  bool
	path     string
	dataDir  string
	nodes    int
	port     int
}

func newDev() *cobra.Command {
	var opt devOptions
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a complete mesh on loopback in this process, for trying it out",
		Long: `Starts daemons (the first 1, 3 or 5 are sources) and stand-in backend servers in
this process, applies a manifest, prints the addresses and a few commands to try,
and serves until it is interrupted.

With --demo it shows the response to one request and one change coming into force,
and exits.`,
		Example: "  daisygate dev --demo\n  daisygate dev --data-dir /tmp/daisygate",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opt.nodes < 1 || opt.nodes > 99 {
				return usageError("--nodes: want 1 to 99, got %d", opt.nodes)
			}
			return runDev(cmd.Context(), &opt, cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
	f := cmd.Flags()
	f.BoolVar(&opt.demo, "demo", false, "show the response to one request and one change coming into force, then exit")
	f.BoolVar(&opt.rollouts, "rollouts", false, "show a bad and a good software version rolled out under load, then exit; takes half a minute")
	f.BoolVarP(&opt.verbose, "verbose", "v", false, "print the daemons' logs to stderr")
	f.StringVarP(&opt.path, "file", "f", "", "manifest (YAML) to apply; default is the built-in example")
	f.StringVar(&opt.dataDir, "data-dir", "", "data folder, which is kept; default is a temporary one")
	f.IntVar(&opt.nodes, "nodes", dev.DefaultNodes, "number of daemons, 1 to 99; the first 1, 3 or 5 are sources")
	f.IntVar(&opt.port, "port", 7400, "operator port of the first daemon; if it is 0 or in use, the system chooses one")
	return cmd
}

// devMesh is a running mesh of the dev command and the manifest applied to it.
type devMesh struct {
	mesh     *dev.Mesh
	client   *operator.Client
	progress *progress
	out      io.Writer
	manifest *manifest.Manifest
}

func runDev(ctx context.Context, opt *devOptions, w, errOut io.Writer) (err error) {
	m, err := opt.manifest()
	if err != nil {
		return err
	}
	mesh, err := opt.start(m)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, mesh.Stop()) }()
	d := &devMesh{
		mesh: mesh, out: w, manifest: m, progress: newProgress(errOut),
		client: &operator.Client{Addr: mesh.Nodes[0].Operator, HTTP: &http.Client{Timeout: requestTimeout}},
	}
	d.printAddresses()
	if err := d.initManifest(ctx); err != nil {
		return err
	}
	switch {
	case opt.rollouts:
		return d.demoRollouts(ctx)
	case opt.demo:
		return d.demo(ctx)
	}
	d.printHints()
	<-ctx.Done()
	fmt.Fprintln(w, "\nstopping")
	return nil
}

func (o *devOptions) manifest() (*manifest.Manifest, error) {
	if o.path == "" {
		return manifest.Parse(examples.Ahnenbach)
	}
	m, _, err := readManifest(o.path)
	return m, err
}

// start starts the mesh. Each service has a backend server at every daemon
// except one, so that some requests pass through two daemons.
func (o *devOptions) start(m *manifest.Manifest) (*dev.Mesh, error) {
	cfg := dev.Config{Nodes: o.nodes, DataDir: o.dataDir, Rollouts: o.rollouts, Log: logr.Discard()}
	version := ""
	if o.rollouts {
		version = demoVersion
	}
	for i, service := range m.Services {
		for node := range max(o.nodes-1, 1) {
			cfg.Servers = append(cfg.Servers, dev.Server{Node: (i + node) % o.nodes, Mesh: m.Mesh, Service: service.Name, Version: version})
		}
	}
	if o.verbose {
		log, err := telemetry.NewLog(settings.Log{Format: "text"}, zapcore.Lock(os.Stderr))
		if err != nil {
			return nil, err
		}
		cfg.Log = log
	}
	if o.port == 0 || o.demo || o.rollouts {
		return dev.Start(cfg)
	}
	cfg.Operator = "127.0.0.1:" + strconv.Itoa(o.port)
	mesh, err := dev.Start(cfg)
	if errors.Is(err, dev.ErrPortInUse) {
		cfg.Operator = ""
		return dev.Start(cfg)
	}
	return mesh, err
}

// initManifest applies the manifest, unless the data folder already contains
// the same or a newer version.
func (d *devMesh) initManifest(ctx context.Context) error {
	current, err := d.current(ctx)
	if err != nil {
		return err
	}
	if current != nil && current.Version >= d.manifest.Version {
		d.manifest = current
		fmt.Fprintf(d.out, "\nmesh %s version %d is in force, restored from the data folder\n", current.Mesh, current.Version)
	} else if err := d.apply(ctx); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

// current waits until the mesh has formed and returns the manifest in force, or
// nil if there is none.
func (d *devMesh) current(ctx context.Context) (*manifest.Manifest, error) {
	var current *manifest.Manifest
	err := d.waitFor(ctx, "the mesh to form", func() error {
		status, err := d.client.Status(ctx)
		if err != nil {
			return err
		}
		fleet, err := d.client.Fleet(ctx, false)
		if err != nil {
			return err
		}
		if err := d.checkFormed(&status, fleet.Daemons); err != nil {
			return err
		}
		current, err = fetchManifest(ctx, d.client, d.manifest.Mesh)
		return err
	})
	if err != nil || current.Version == 0 {
		return nil, err
	}
	return current, nil
}

// checkFormed returns an error if the mesh is still forming, judged by the
// status of the first daemon and the number of daemons that it sees.
func (d *devMesh) checkFormed(s *operator.NodeStatus, seen int) error {
	switch {
	case s.Source == nil || s.Source.Lead == "":
		return errors.New("the sources have not elected a leader yet")
	case seen < len(d.mesh.Nodes):
		return errors.Newf("the first daemon has discovered only %d of %d daemons", seen, len(d.mesh.Nodes))
	case s.Source.Version > s.Mesh.Version:
		return errors.Newf("version %d is not in force yet", s.Source.Version)
	}
	return nil
}

func (d *devMesh) apply(ctx context.Context) error {
	raw, err := yaml.Marshal(d.manifest)
	if err != nil {
		return errors.Wrap(err, "encode manifest")
	}
	fmt.Fprintf(d.out, "\nThe manifest of mesh %s, version %d:\n", d.manifest.Mesh, d.manifest.Version)
	a := &applier{client: d.client, manifest: d.manifest, raw: raw, wait: devWaitTimeout, progress: d.progress}
	return a.run(ctx, d.out, &output{format: formatText})
}

// awaitReady waits until every daemon serves every route.
func (d *devMesh) awaitReady(ctx context.Context) error {
	for _, n := range d.mesh.Nodes {
		for i := range d.manifest.Routes {
			r := &d.manifest.Routes[i]
			err := d.waitFor(ctx, "a response to "+r.Path, func() error {
				_, err := d.request(ctx, n, r)
				return err
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *devMesh) waitFor(ctx context.Context, what string, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, devWaitTimeout)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "waiting for %s", what)
		case <-time.After(devPollInterval):
		}
	}
}

func method(r *manifest.Route) string {
	if len(r.Methods) == 0 {
		return http.MethodGet
	}
	return r.Methods[0]
}

// request sends a request for a route to the caller address of a daemon and
// returns the response body.
func (d *devMesh) request(ctx context.Context, n dev.Node, r *manifest.Route) (string, error) {
	req, err := d.newRequest(ctx, n, r)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if resp.Header.Get(result.HeaderOutcome) != result.Run.String() {
		return "", errors.Newf("%s: %s", resp.Status, strings.TrimSpace(string(body)))
	}
	return string(body), nil
}

// newRequest returns a request for a route to the caller address of a daemon.
func (d *devMesh) newRequest(ctx context.Context, n dev.Node, r *manifest.Route) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method(r), "http://"+n.Caller+r.Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if host := d.manifest.HostsOf(r)[0]; host != "" {
		req.Host = host
	}
	return req, nil
}

func (d *devMesh) curl(n dev.Node, r *manifest.Route) string {
	var options strings.Builder
	if m := method(r); m != http.MethodGet {
		options.WriteString("-X " + m + " ")
	}
	if host := d.manifest.HostsOf(r)[0]; host != "" {
		options.WriteString("-H 'Host: " + host + "' ")
	}
	return fmt.Sprintf("curl %shttp://%s%s", options.String(), n.Caller, r.Path)
}

func (d *devMesh) printAddresses() {
	fmt.Fprintf(d.out, "a mesh of %d daemons and %d stand-in backend servers on loopback, in this process (%d)\n",
		len(d.mesh.Nodes), len(d.mesh.Servers), os.Getpid())
	var rows []string
	for _, n := range d.mesh.Nodes {
		rows = append(rows, strings.Join([]string{n.Name, n.Domain, n.Caller, n.Operator, n.Announce}, "\t"))
	}
	table(d.out, "DAEMON\tDOMAIN\tCALLERS\tOPERATORS\tANNOUNCEMENTS", rows)
}

func (d *devMesh) printHints() {
	fmt.Fprintln(d.out, "\nTry:")
	for i := range d.manifest.Routes {
		fmt.Fprintln(d.out, "  "+d.curl(d.mesh.Nodes[i%len(d.mesh.Nodes)], &d.manifest.Routes[i]))
	}
	addr := d.mesh.Nodes[0].Operator
	for _, command := range []string{"status", "history", "drain --node n1"} {
		fmt.Fprintf(d.out, "  daisygate %s --operator %s\n", command, addr)
	}
	fmt.Fprintln(d.out, "\nPress Ctrl-C to stop.")
}
