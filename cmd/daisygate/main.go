// Command daisygate is the one binary of the project: the daemon and the
// operators' command line.
package main

import (
	"os"

	"github.com/daisygate/daisygate/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
