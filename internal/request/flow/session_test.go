package flow

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// TestSessions replays the golden sessions in testdata. The daemon is n0 in the
// failure domain d0; servers are written as name@node/domain/region.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &session{now: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, s.step)
	})
}

type session struct {
	now     time.Time
	service *Service
	call    *Call
	seed    uint64
}

func (s *session) step(t *testing.T, d *datadriven.TestData) string {
	number := func(key string) int {
		n := 0
		d.MaybeScanArgs(t, key, &n)
		return n
	}
	s.now = s.now.Add(time.Duration(number("after")) * time.Millisecond)
	s.seed++
	switch d.Cmd {
	case "servers":
		s.service = NewService(balance.Location{Node: "n0", Domain: "d0", Region: "r0"}, nil)
		s.service.Table.Update(candidatesOf(d.Input), 0)
		return ""
	case "begin":
		var a Action
		s.call, a = s.service.Begin(s.now, s.seed, Request{
			Deadline: s.now.Add(time.Second), Repeatable: d.HasArg("repeatable"), Retries: number("retries"),
		})
		return describe(a)
	case "begun":
		s.call.BodyBegun()
		return ""
	case "refused":
		return describe(s.call.Refused(s.now, s.seed, result.Code(number("code")), time.Duration(number("back"))*time.Second))
	case "answered":
		a := s.call.Answered()
		s.call.Relayed(s.now, true)
		return describe(a)
	case "expired":
		return describe(s.call.Expired(s.now))
	case "left":
		return describe(s.call.CallerLeft(s.now))
	case "storm":
		return s.storm(number("calls"))
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// storm makes repeatable calls of which every attempt fails with a lost answer.
func (s *session) storm(calls int) string {
	attempts := 0
	for range calls {
		s.now = s.now.Add(time.Millisecond)
		s.seed++
		call, a := s.service.Begin(s.now, s.seed, Request{Deadline: s.now.Add(time.Second), Repeatable: true, Retries: 3})
		for a.Kind == Try {
			attempts++
			a = call.Refused(s.now, s.seed, result.AnswerLost, 0)
		}
	}
	return fmt.Sprintf("%d calls, %d attempts\n", calls, attempts)
}

func candidatesOf(text string) []*directory.Candidate {
	var candidates []*directory.Candidate
	for _, word := range strings.Fields(text) {
		name, place, _ := strings.Cut(word, "@")
		at := strings.Split(place, "/")
		candidates = append(candidates, &directory.Candidate{
			Node:   view.Node{Name: at[0], Domain: at[1], Region: at[2]},
			Server: presence.Server{Addr: name, Slots: 2, State: presence.Serving},
		})
	}
	return candidates
}

func describe(a Action) string {
	switch a.Kind {
	case Try:
		return fmt.Sprintf("try %s\n", a.Candidate.Server.Addr)
	case Relay:
		return fmt.Sprintf("relay the answer of %s\n", a.Candidate.Server.Addr)
	case Answer:
		return fmt.Sprintf("answer %s (%s), back in %s, cancel %t\n", a.Code, a.Code.Outcome(), a.RetryAfter, a.Cancel)
	case Cancel:
		return "cancel\n"
	}
	return "nothing\n"
}
