package cli

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/result"
)

// Exit codes of the command line; ExitCodes describes them.
const (
	ExitOK          = 0
	ExitRefused     = 1
	ExitUsage       = 2
	ExitUnknown     = 3
	ExitUnreachable = 4
	ExitPending     = 5
	ExitFailed      = 6
	ExitRolledBack  = 7
)

// ExitCode describes an exit code.
type ExitCode struct {
	Code int
	Name string
	// Meaning is one sentence that ends with a period.
	Meaning string
}

// ExitCodes lists all exit codes in order. docs/RESULT-CODES.md contains the
// same table.
var ExitCodes = []ExitCode{
	{ExitOK, "OK", "Done."},
	{ExitRefused, "Refused", "Refused, with a result code; nothing was changed."},
	{ExitUsage, "Usage", "The command line, the settings or a file it names has faults; nothing was sent."},
	{ExitUnknown, "Unknown", "The answer was lost or late; the order may have been carried out, and sending the same again is safe."},
	{ExitUnreachable, "Unreachable", "No daemon answered at the given address; nothing was changed."},
	{ExitPending, "Pending", "Accepted, but not in force everywhere, or not idle, in the time given; it goes on."},
	{ExitFailed, "Failed", "The command failed on the way, for instance a daemon whose data folder failed; the text says where."},
	{ExitRolledBack, "RolledBack", "The roll-out was rolled back; the version before serves, and the text says why."},
}

func exitCode(err error) int {
	var coded *result.Error
	if !errors.As(err, &coded) {
		return ExitFailed
	}
	switch coded.Code {
	case result.UsageError:
		return ExitUsage
	case result.Unreachable:
		return ExitUnreachable
	case result.RolledBack:
		return ExitRolledBack
	case result.NotInForce, result.NotIdle:
		return ExitPending
	}
	if coded.Code.Outcome() == result.Unknown {
		return ExitUnknown
	}
	return ExitRefused
}

func exitCodesHelp() string {
	var text strings.Builder
	text.WriteString("Exit codes:\n")
	for _, e := range ExitCodes {
		fmt.Fprintf(&text, "  %d  %s\n", e.Code, e.Meaning)
	}
	return strings.TrimRight(text.String(), "\n")
}

func isCode(err error, code result.Code) bool {
	var coded *result.Error
	return errors.As(err, &coded) && coded.Code == code
}
