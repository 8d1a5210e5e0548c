// Command backend runs one stand-in backend server as a process of its own. It
// prints its address as the first line.
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
	"github.com/daisygate/daisygate/internal/standin"
)

func main() {
	var cfg standin.Config
	var a announce.Announcement
	flag.StringVar(&cfg.Listen, "listen", "127.0.0.1:0", "address to serve on, ip:port")
	flag.StringVar(&cfg.AnnounceAddr, "announce", "127.0.0.1:7100", "announcement address of the daemon beside it")
	flag.StringVar(&cfg.Answer, "answer", "ok\n", "answer to requests without a body")
	flag.StringVar(&a.Mesh, "mesh", "", "mesh of the service")
	flag.StringVar(&a.Service, "service", "", "service to serve")
	flag.IntVar(&a.Slots, "slots", 20, "requests run at a time")
	flag.IntVar(&a.Connections, "connections", 110, "connections taken")
	flag.Parse()
	cfg.Announcement = a
	if err := run(cfg); err != nil {
		fmt.Fprintln(os.Stderr, "backend:", err)
		os.Exit(1)
	}
}

func run(cfg standin.Config) error {
	server, err := standin.New(cfg)
	if err != nil {
		return err
	}
	fmt.Println(server.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err = server.Run(ctx)
	return errors.Join(err, printRuns(server))
}

// printRuns leaves the record of runs on stderr, in a line that begins with
// "runs: ", for whoever stopped the process.
func printRuns(server *standin.Server) error {
	raw, err := json.Marshal(server.Runs())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(os.Stderr, "runs: %s\n", raw)
	return err
}
