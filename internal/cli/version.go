package cli

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Version and Revision are the release and the commit from which this binary was
// built. A build sets them with
//
//	-ldflags "-X github.com/daisygate/daisygate/internal/cli.Revision=..."
//
// If Revision is not set, it is read from the build information, if available.
var (
	Version  = "0.1.0-dev"
	Revision = ""
)

// buildReport is the output of version.
type buildReport struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

func newVersion() *cobra.Command {
	var out output
	cmd := &cobra.Command{
		Use:   "version",
		Short: "Print the version of this binary, its commit and its Go version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := out.check(); err != nil {
				return err
			}
			report := readBuild()
			return out.print(cmd.OutOrStdout(), report, func(w io.Writer) {
				fmt.Fprintf(w, "daisygate %s, revision %s, %s\n", report.Version, report.Revision, report.Go)
			})
		},
	}
	out.flags(cmd)
	return cmd
}

func readBuild() buildReport {
	report := buildReport{Version: Version, Revision: Revision, Go: "unknown Go version"}
	info, ok := debug.ReadBuildInfo()
	if ok {
		report.Go = info.GoVersion
	}
	if report.Revision == "" && ok {
		report.Revision = revisionOf(info.Settings)
	}
	if report.Revision == "" {
		report.Revision = "unknown"
	}
	return report
}

func revisionOf(build []debug.BuildSetting) string {
	values := map[string]string{}
	for _, s := range build {
		values[s.Key] = s.Value
	}
	if values["vcs.modified"] == "true" {
		return values["vcs.revision"] + "+changes"
	}
	return values["vcs.revision"]
}
