// Command backend runs one stand-in backend server in its own process. The first line that it prints
// is its address.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/daisygate/daisygate/internal/connection/announce"
	"github.com/daisygate/daisygate/internal/testbackend"
)

func main() {
	var cfg testbackend.Config
	var a announce.Announcement
	flag.StringVar(&cfg.Listen, "listen", "127.0.0.1:0", "address to serve on, ip:port")
	flag.StringVar(&cfg.AnnounceAddr, "announce", "127.0.0.1:7100", "announcement address of the local daemon")
	flag.StringVar(&cfg.Answer, "answer", "ok\n", "answer to requests without a body")
	flag.StringVar(&a.Mesh, "mesh", "", "mesh of the service")
	flag.StringVar(&a.Service, "service", "", "service to serve")
	flag.IntVar(&a.Slots, "slots", 20, "maximum concurrent requests")
	flag.IntVar(&a.Connections, "connections", 110, "maximum connections")
	flag.Parse()
	cfg.Announcement = a
	if err := run(cfg); err != nil {
		fmt.Fprintln(os.Stderr, "backend:", err)
		os.Exit(1)
	}
}

func run(cfg testbackend.Config) error {
	server, err := testbackend.New(cfg)
	if err != nil {
		return err
	}
	fmt.Println(server.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err = server.Run(ctx)
	return errors.Join(err, printRuns(server))
}

// printRuns writes the run counts to stderr, in a line that begins with "runs: ", for the process that
// stopped this one.
func printRuns(server *testbackend.Server) error {
	raw, err := json.Marshal(server.Runs())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(os.Stderr, "runs: %s\n", raw)
	return err
}
