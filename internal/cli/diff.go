package cli

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/diff"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// diffReport is the output of diff.
type diffReport struct {
	Mesh string `json:"mesh"`
	// From is the version in force, or 0 if the mesh has none.
	From uint64 `json:"from"`
	// To is the version of the manifest file, or the accepted version given by
	// --to.
	To      uint64        `json:"to"`
	Changes []diff.Change `json:"changes"`
}

// diffOptions are the flags that select what is compared.
type diffOptions struct {
	path string
	mesh string
	from uint64
	to   uint64
}

func newDiff() *cobra.Command {
	var api apiOptions
	var out output
	var opt diffOptions
	cmd := &cobra.Command{
		Use:   "diff (-f MANIFEST | --mesh MESH --from VERSION --to VERSION)",
		Short: "Compare a manifest with what is in force, or two accepted versions",
		Long: `Lists what a manifest would change: + added, - removed, ~ changed.

Two accepted versions of a mesh can be compared only if the content of both is
stored. Sources and daemons store the content of the version in force; of older
versions they keep the number, content hash and time (see daisygate history), and
diff reports an error.`,
		Example: "  daisygate diff -f examples/ahnenbach.yaml",
		Args:    cobra.NoArgs,
		RunE: runWithClient(&api, &out, func(cmd *cobra.Command, client *operator.Client) (any, func(io.Writer), error) {
			report, err := opt.compare(cmd.Context(), client)
			if err != nil {
				return nil, nil, err
			}
			return report, report.print, nil
		}),
	}
	cmd.Flags().StringVarP(&opt.path, "file", "f", "", "manifest (YAML) to compare with the version in force")
	_ = cmd.MarkFlagFilename("file", "yaml", "yml")
	cmd.Flags().StringVar(&opt.mesh, "mesh", "", "mesh whose accepted versions are compared")
	cmd.Flags().Uint64Var(&opt.from, "from", 0, "accepted version to start from")
	cmd.Flags().Uint64Var(&opt.to, "to", 0, "accepted version to end at")
	cmd.MarkFlagsRequiredTogether("mesh", "from", "to")
	cmd.MarkFlagsMutuallyExclusive("file", "mesh")
	cmd.MarkFlagsOneRequired("file", "mesh")
	api.flags(cmd)
	out.flags(cmd)
	return cmd
}

func (o *diffOptions) compare(ctx context.Context, client *operator.Client) (*diffReport, error) {
	if o.mesh != "" {
		return o.compareAccepted(ctx, client)
	}
	next, _, err := readManifest(o.path)
	if err != nil {
		return nil, err
	}
	current, err := fetchManifest(ctx, client, next.Mesh)
	if err != nil {
		return nil, err
	}
	return newReport(current, next), nil
}

// compareAccepted compares two accepted versions. It fails unless both are the
// version in force, because the sources store only the content of that version.
func (o *diffOptions) compareAccepted(ctx context.Context, client *operator.Client) (*diffReport, error) {
	history, err := client.History(ctx, source.HistoryRequest{Mesh: o.mesh})
	if err != nil {
		return nil, err
	}
	for _, version := range []uint64{o.from, o.to} {
		matches := func(a source.HistoryEntry) bool { return a.Mesh == o.mesh && a.Version == version }
		if !slices.ContainsFunc(history, matches) {
			return nil, result.Errorf(result.UnknownResource, "version %d of mesh %s is not in the history of accepted manifests", version, o.mesh)
		}
	}
	current, err := fetchManifest(ctx, client, o.mesh)
	if err != nil {
		return nil, err
	}
	for _, version := range []uint64{o.from, o.to} {
		if version != current.Version {
			return nil, result.Errorf(result.VersionNotHeld, "the sources store only the content of mesh %s version %d, which is in force; of version %d they keep the content hash and time. Get that manifest from your own pipeline and compare it with -f", o.mesh, current.Version, version)
		}
	}
	return newReport(current, current), nil
}

// fetchManifest reads the manifest in force. For a mesh without one it returns
// an empty manifest.
func fetchManifest(ctx context.Context, client *operator.Client, mesh string) (*manifest.Manifest, error) {
	held, err := client.InForce(ctx, mesh)
	if isCode(err, result.UnknownResource) {
		return &manifest.Manifest{Mesh: mesh}, nil
	}
	if err != nil {
		return nil, err
	}
	return manifest.Parse([]byte(held.Manifest))
}

func newReport(from, to *manifest.Manifest) *diffReport {
	changes := diff.Compare(from, to)
	if changes == nil {
		changes = []diff.Change{}
	}
	return &diffReport{Mesh: to.Mesh, From: from.Version, To: to.Version, Changes: changes}
}

func (r *diffReport) print(w io.Writer) {
	if r.From == 0 {
		fmt.Fprintf(w, "mesh %s: nothing in force -> version %d\n", r.Mesh, r.To)
	} else {
		fmt.Fprintf(w, "mesh %s: version %d in force -> version %d\n", r.Mesh, r.From, r.To)
	}
	for _, c := range r.Changes {
		fmt.Fprintln(w, c)
	}
	if len(r.Changes) == 0 {
		fmt.Fprintln(w, "no difference in services, routes and organisations")
	}
}
