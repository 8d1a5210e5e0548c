// Command stand-ins-2 plays the scripts of the second review: it starts the project's own program on loopback
// addresses, with stand-ins for consumers, servers and the operator.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	cases := map[string]func(rec *record, trouble bool) int{
		"oversize": oversize,
		"stall":    stall,
		"drain":    drain,
		"slots":    slots,
		"slow":     slow,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-ins-2 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	rec := newRecord(os.Args[2])
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		abandon()
	}()
	os.Exit(cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0"))
}
