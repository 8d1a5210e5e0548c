package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// validateReport is the output of validate.
type validateReport struct {
	File     string `json:"file"`
	OK       bool   `json:"ok"`
	Mesh     string `json:"mesh,omitempty"`
	Version  uint64 `json:"version,omitempty"`
	Services int    `json:"services"`
	Routes   int    `json:"routes"`
	// Faults lists all errors found in the file.
	Faults manifest.Faults `json:"faults,omitempty"`
}

func newValidate() *cobra.Command {
	var path string
	var out output
	cmd := &cobra.Command{
		Use:   "validate -f MANIFEST",
		Short: "Check a manifest offline",
		Long: `Checks a manifest without contacting a daemon and lists all faults at once, with
line, column and what is expected.`,
		Example: "  daisygate validate -f examples/ahnenbach.yaml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := out.check(); err != nil {
				return err
			}
			return validate(cmd.OutOrStdout(), path, &out)
		},
	}
	fileFlag(cmd, &path)
	out.flags(cmd)
	return cmd
}

func fileFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVarP(path, "file", "f", "", "manifest (YAML)")
	_ = cmd.MarkFlagRequired("file")
	_ = cmd.MarkFlagFilename("file", "yaml", "yml")
}

func validate(w io.Writer, path string, out *output) error {
	m, _, err := readManifest(path)
	c := validateReport{File: path, OK: err == nil}
	if m != nil {
		c.Mesh, c.Version, c.Services, c.Routes = m.Mesh, m.Version, len(m.Services), len(m.Routes)
	}
	if err != nil && (out.format == formatText || !errors.As(err, &c.Faults)) {
		return err
	}
	printErr := out.print(w, c, func(w io.Writer) {
		fmt.Fprintf(w, "ok: mesh %s version %d, %d services, %d routes\n", c.Mesh, c.Version, c.Services, c.Routes)
	})
	return errors.CombineErrors(err, printErr)
}

// invalidManifest is an error that combines the faults of a manifest with a
// result code.
type invalidManifest struct {
	coded  *result.Error
	faults manifest.Faults
}

// Error implements the error interface.
func (e *invalidManifest) Error() string { return e.coded.Error() }

// Unwrap returns both errors for errors.Is and errors.As.
func (e *invalidManifest) Unwrap() []error { return []error{e.coded, e.faults} }

// readManifest reads and validates a manifest file.
func readManifest(path string) (*manifest.Manifest, []byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, usageError("--file: %v", err)
	}
	m, err := manifest.Parse(raw)
	if err == nil {
		return m, raw, nil
	}
	coded := result.Errorf(result.ManifestInvalid, "%s\n%v", path, err)
	var faults manifest.Faults
	if errors.As(err, &faults) {
		return nil, nil, &invalidManifest{coded: coded, faults: faults}
	}
	return nil, nil, coded
}
