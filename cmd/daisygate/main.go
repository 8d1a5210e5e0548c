// Command daisygate is the single binary of the project. It contains the daemon
// and the command line for operators.
package main

import (
	"os"

	"github.com/daisygate/daisygate/internal/cli"
	"github.com/daisygate/daisygate/internal/process/daemon"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/platform"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr, loadPlatform))
}

func loadPlatform() (settings.Settings, daemon.Platform, error) { return platform.New() }
