package response

import "fmt"

// MalformedError is the error of a response that is not valid HTTP/1. It quotes nothing of the response: its
// text is sent to callers, who must not get what may belong to somebody else.
type MalformedError struct {
	// Line is the number of the line in the header, or in the trailers, that is not valid, from 1; 0 if it is
	// not known.
	Line int
	// Problem is what is wrong with it.
	Problem string
}

// Error implements the error interface.
func (e *MalformedError) Error() string {
	if e.Line == 0 {
		return "malformed response: " + e.Problem
	}
	return fmt.Sprintf("malformed response: line %d: %s", e.Line, e.Problem)
}
