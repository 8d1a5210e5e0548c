package trail

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/daisygate/daisygate/internal/connection/gateway"
	"github.com/daisygate/daisygate/internal/result"
)

// Explain writes the path of a request, oldest line first, and what its end
// means.
func Explain(w io.Writer, lines []Line) error {
	Sort(lines)
	var out strings.Builder
	begin := lines[0].Time
	for i := range lines {
		l := &lines[i]
		fmt.Fprintf(&out, "%9s  %-15s  %s\n", "+"+l.Time.Sub(begin).Round(10*time.Microsecond).String(), l.Node, l.Message)
		fmt.Fprintf(&out, "           %s\n", join(l.Fields))
	}
	out.WriteString(verdict(lines))
	_, err := io.WriteString(w, out.String())
	return err
}

func join(fields map[string]any) string {
	parts := make([]string, 0, len(fields))
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		if value := fmt.Sprint(fields[key]); value != "" {
			parts = append(parts, key+"="+value)
		}
	}
	return strings.Join(parts, " ")
}

// verdict says how the request ended, and why as far as the lines tell.
func verdict(lines []Line) string {
	var out strings.Builder
	end, attempts, turnedAway := "", 0, 0
	var last *Line
	for i := range lines {
		switch l := &lines[i]; l.Message {
		case gateway.LogRefused, gateway.LogFailed, gateway.LogAnswered:
			end, last = l.Message, l
		case gateway.LogAttempt:
			attempts++
		case gateway.LogTurnedAway:
			turnedAway++
		}
	}
	switch end {
	case "":
		out.WriteString("\nEnd: not in these logs. The daemon that took the request from its caller wrote it, if the log told of this request.\n")
	case gateway.LogAnswered:
		fmt.Fprintf(&out, "\nEnd: answered with status %v after %s, at attempt %v.\n", last.Fields["status"], last.Text("took"), last.Fields["attempts"])
	default:
		code := codeOf(last.Text("result"))
		fmt.Fprintf(&out, "\nEnd: %s, %s: %s\n", last.Text("outcome"), code, code.Meaning())
	}
	fmt.Fprintf(&out, "Attempts without an answer: %d; told of by the daemon beside the server: %d.\n", attempts, turnedAway)
	if attempts > turnedAway {
		out.WriteString("For the others look into the logs of the daemons named by \"to\": without a line there the request did not arrive.\n")
	}
	return out.String()
}

// codeOf finds a code by its number and name; 0 without one.
func codeOf(name string) result.Code {
	for code := range result.Codes() {
		if code.String() == name {
			return code
		}
	}
	return 0
}
