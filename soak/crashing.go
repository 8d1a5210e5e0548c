package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// pathCrash is the path of a request that crashes each server which runs it, crashSendPause the
	// mean time between two sends, and crashWork the longest time until the crash.
	pathCrash      = pathSafe + "crash"
	crashSendPause = 150 * time.Millisecond
	crashWork      = 80 * time.Millisecond
	// crashDuration is how long a server is away after it.
	crashDuration = 1500 * time.Millisecond
	// maxLateCrashes is the number of times that the request may run later than faultMargin after the
	// third crash.
	maxLateCrashes  = 3
	crashedByCaller = "server crash by a request"
)

// startCrashingRequest sends a request that crashes servers through the daemons beside servers of one
// service, until ctx ends.
func (cl *cluster) startCrashingRequest(ctx context.Context) {
	random := rand.New(rand.NewPCG(cl.o.Seed, 23))
	sender := []string{serviceA, serviceB}[random.IntN(2)]
	var daemons []*process
	for _, p := range cl.daemons {
		if p.service == sender {
			daemons = append(daemons, p)
		}
	}
	cl.wait.Go(func() {
		client := newClient(1)
		defer client.CloseIdleConnections()
		for n := 0; ctx.Err() == nil; n++ {
			p := daemons[random.IntN(len(daemons))]
			s := send(client, "http://"+cl.addr(p, portOutbound), request{kind: "safe", path: pathCrash, exact: true, method: http.MethodGet}, fmt.Sprintf("crash-%d-%d", cl.o.Seed, n))
			s.Daemon = p.name
			record(cl.history, &cl.history.Sent, s)
			cl.sleep(ctx, time.Duration(random.Int64N(int64(2*crashSendPause))))
		}
	})
}

// isCrashing reports whether a request is one of startCrashingRequest.
func isCrashing(path string) bool { return strings.HasPrefix(path, pathCrash) }

// checkCrashingRequest checks that a request that crashes servers is not sent to one after the other.
func (c *checker) checkCrashingRequest() {
	var crashes []time.Time
	for _, f := range c.h.Faults {
		if f.Kind == crashedByCaller {
			crashes = append(crashes, f.At)
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) < 3 {
		return
	}
	late := 0
	for _, run := range c.h.Runs {
		s := c.sent[run.ID]
		if s != nil && isCrashing(run.Path) && run.At.After(crashes[2].Add(faultMargin)) && c.inTouch(s.Daemon, s.At) {
			late++
		}
	}
	if late > maxLateCrashes {
		c.violation("BUDGET", crashes[len(crashes)-1], "a request under which three servers had crashed ran %d times more; %d crashed in all", late, len(crashes))
	}
}

// inTouch reports whether neither the daemon nor a source had a fault in the faultMargin before.
func (c *checker) inTouch(daemon string, at time.Time) bool {
	return !slices.ContainsFunc(c.h.Faults, func(f Fault) bool {
		concerned := f.Target == daemon || slices.Contains(c.h.Sources, f.Target)
		return concerned && !f.At.After(at) && f.Until.Add(faultMargin).After(at)
	})
}
