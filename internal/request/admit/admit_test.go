package admit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/daisygate/daisygate/internal/request/ratelimit"
)

// TestSessions replays the golden sessions of testdata. Times are milliseconds
// since the session's start; a session begins with "new".
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &session{start: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, s.step)
	})
}

type session struct {
	start time.Time
	core  *Core
}

func (s *session) step(t *testing.T, d *datadriven.TestData) string {
	number := func(key string) int {
		n := 0
		d.MaybeScanArgs(t, key, &n)
		return n
	}
	ms := func(key string) time.Duration { return time.Duration(number(key)) * time.Millisecond }
	now := s.start.Add(ms("at"))
	var out []Decision
	switch d.Cmd {
	case "new":
		s.core = New(Config{Slots: number("slots"), QueueMax: number("queue"), Since: s.start, SlowStart: ms("slow")})
	case "arrive":
		for i := range max(1, number("times")) {
			out = append(out, s.core.Arrive(now, Ticket{
				ID: uint64(number("id") + i), Priority: number("priority"), Deadline: now.Add(ms("timeout")), Alone: d.HasArg("alone"),
			})...)
		}
	case "finish":
		for range max(1, number("times")) {
			out = append(out, s.core.Finish(now, "", ms("took"))...)
		}
	case "busy":
		// busy keeps all slots in use. A request takes "took", plus "each" for
		// every slot of the limit.
		for i := range number("times") {
			took := ms("took") + time.Duration(s.core.Limit(now))*ms("each")
			now = now.Add(took / time.Duration(s.core.Limit(now)))
			for s.core.Running() < s.core.Limit(now) {
				s.core.Arrive(now, Ticket{ID: uint64(1000 + i), Deadline: now.Add(time.Minute)})
			}
			s.core.Finish(now, "", took)
		}
	case "cancel":
		return fmt.Sprintln("was waiting:", s.core.Cancel(uint64(number("id"))))
	case "limit":
		statement := ratelimit.Statement{}
		if d.HasArg("rate") {
			statement = ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: float64(number("rate"))}
		}
		_, out = s.core.ObserveRateLimit(now, now, statement)
	case "advance":
		out = s.core.Advance(now)
	case "drain":
		out = s.core.Drain(now)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return s.print(now, out)
}

func (s *session) print(now time.Time, decisions []Decision) string {
	var b strings.Builder
	for _, d := range decisions {
		if d.Verdict == Start {
			fmt.Fprintf(&b, "start %d\n", d.ID)
		} else {
			fmt.Fprintf(&b, "refuse %d: %s, back in %s\n", d.ID, d.Code, d.RetryAfter)
		}
	}
	fmt.Fprintf(&b, "running %d, queued %d, limit %d\n", s.core.Running(), s.core.Queued(), s.core.Limit(now))
	if in, waiting := s.core.NextStart(now); waiting {
		fmt.Fprintf(&b, "next start in %s\n", in)
	}
	return b.String()
}
