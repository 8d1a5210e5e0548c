package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// Statement is what one response of a backend server says about its rate limit. The zero
// Statement says that there is no limit.
type Statement struct {
	Kind Kind
	// PerSecond is the number of requests per second that the server accepts from all daemons
	// together, if Kind is Limited. It is finite and at least 0.
	PerSecond float64
}

// Kind is the kind of a Statement.
type Kind uint8

const (
	// Unlimited responses state no limit.
	Unlimited Kind = iota
	// Limited responses state a limit.
	Limited
	// Unreadable responses state a limit that is not a number of requests.
	Unreadable
)

// Parse parses the values of the response header that states the limit, as decimal numbers. Of
// several limits the lowest applies.
func Parse(values []string) Statement {
	s := Statement{}
	for _, text := range values {
		perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
			return Statement{Kind: Unreadable}
		}
		if s.Kind == Unlimited || perSecond < s.PerSecond {
			s = Statement{Kind: Limited, PerSecond: perSecond}
		}
	}
	return s
}
