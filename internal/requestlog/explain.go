package requestlog

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

// Explain writes the log lines of a request, oldest first, and a summary of how it
// ended. It sorts lines, which must not be empty.
func Explain(w io.Writer, lines []Line) error {
	Sort(lines)
	var out strings.Builder
	start := lines[0].Time
	for i := range lines {
		l := &lines[i]
		fmt.Fprintf(&out, "%9s  %-15s  %s\n", "+"+l.Time.Sub(start).Round(10*time.Microsecond).String(), l.Node, l.Message)
		fmt.Fprintf(&out, "           %s\n", formatFields(l.Fields))
	}
	out.WriteString(summary(lines))
	_, err := io.WriteString(w, out.String())
	return err
}

// formatFields formats fields as key=value pairs, sorted by key, without empty values.
func formatFields(fields map[string]any) string {
	parts := make([]string, 0, len(fields))
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		if value := fmt.Sprint(fields[key]); value != "" {
			parts = append(parts, key+"="+value)
		}
	}
	return strings.Join(parts, " ")
}

// summary describes how the request ended, and why as far as the lines show.
func summary(lines []Line) string {
	var out strings.Builder
	end, attempts, reportedAtServer := "", 0, 0
	var last *Line
	for i := range lines {
		switch l := &lines[i]; l.Message {
		case gateway.LogRefused, gateway.LogFailed, gateway.LogAnswered:
			end, last = l.Message, l
		case gateway.LogAttempt:
			attempts++
		case gateway.LogRejectedAtServer:
			reportedAtServer++
		}
	}
	switch end {
	case "":
		out.WriteString("\nEnd: not in these logs. It is in the log of the daemon that accepted the request from the caller, unless that daemon did not log this request.\n")
	case gateway.LogAnswered:
		fmt.Fprintf(&out, "\nEnd: answered with status %v after %s, at attempt %v.\n", last.Fields["status"], last.Text("took"), last.Fields["attempts"])
	default:
		code := parseCode(last.Text("result"))
		fmt.Fprintf(&out, "\nEnd: %s, %s: %s\n", last.Text("outcome"), code, code.Meaning())
	}
	fmt.Fprintf(&out, "Attempts without an answer: %d; reported by the server's daemon: %d.\n", attempts, reportedAtServer)
	if attempts > reportedAtServer {
		out.WriteString("For the others, see the logs of the daemons in \"to\"; no line there means that the request did not arrive.\n")
	}
	return out.String()
}

// parseCode returns the code with the given number and name, or 0 if there is none.
func parseCode(text string) result.Code {
	for code := range result.Codes() {
		if code.String() == text {
			return code
		}
	}
	return 0
}
