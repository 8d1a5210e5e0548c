package main

import (
	"sync"
	"time"
)

// SentRequest is one request of a caller and its result.
type SentRequest struct {
	ID, Daemon, Method, Path, Kind string
	Body                           uint64 // hash
	Deadline                       time.Duration
	At, Ended                      time.Time
	// Status is 0 if no answer was received. Signed is set if the answer has a server's
	// signature, Valid if that signature matches the complete answer to this request.
	Status int
	// Code and Outcome are the result code and the outcome that the daemon states.
	Code, Outcome string
	Valid, Signed bool
	// NotConnected is set if no connection was made.
	NotConnected bool
	// Stated holds the headers in which the boot StatedBy states something about itself.
	Stated   []string
	StatedBy string
}

// Arrival is one request that arrived at a backend server, executed or refused.
type Arrival struct {
	ID, Service, Boot string
	At                time.Time
	// Repeat is set if the request arrived at a server before, or is a call made by a
	// repeated execution.
	Repeat bool
	// Misdirected is set if the request was for another boot and was answered with 421.
	Misdirected bool
}

// Exec is one request executed by a backend server.
type Exec struct {
	ID, Boot, Service, Method, Path, Origin string
	Body                                    uint64
	At                                      time.Time
}

// ConfigChange is one configuration change of an operator. Acked is zero if no definite
// answer was received.
type ConfigChange struct {
	Version, Base uint64
	Moving        string
	At, Acked     time.Time
	// Refused is set on a definite refusal, RefusedAfterAck if an acknowledged change was
	// refused when it was sent again.
	Refused, RefusedAfterAck bool
}

// ConfigRead is one answer to a read of the configuration.
type ConfigRead struct {
	// At is when the request was sent.
	At      time.Time
	Source  string
	Version uint64
}

// Fault is one injected fault.
type Fault struct {
	Kind, Target string
	At, Until    time.Time
	// Planned is set for a stop that the process was notified of.
	Planned bool
}

// AckedDrain records that a daemon acknowledged the leave of a backend server.
type AckedDrain struct {
	Boot string
	At   time.Time
}

// History records what callers, backend servers and operators observed.
type History struct {
	mu         sync.Mutex
	Begin      time.Time
	SteadyFrom time.Time
	End        time.Time
	Sent       []SentRequest
	Runs       []Exec
	Arrivals   []Arrival
	Changes    []ConfigChange
	Reads      []ConfigRead
	Faults     []Fault
	Drains     []AckedDrain
	Limits     []LimitChange
	Services   map[string]string // service of the local backend server, by daemon
	Sources    []string
	// seen holds the IDs of requests that arrived at a server, repeatCalls the IDs of calls
	// made by repeated executions.
	seen, repeatCalls map[string]bool
}

// recordArrival records an arrival now and reports whether it counts as a repeat.
func (h *History) recordArrival(a Arrival) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seen == nil {
		h.seen, h.repeatCalls = map[string]bool{}, map[string]bool{}
	}
	a.At, a.Repeat = time.Now(), h.seen[a.ID] || h.repeatCalls[a.ID]
	h.seen[a.ID] = true
	h.Arrivals = append(h.Arrivals, a)
	return a.Repeat
}

// markRepeatCall records that a request is a call made by a repeated execution.
func (h *History) markRepeatCall(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.repeatCalls[id] = true
}

func record[T any](h *History, list *[]T, item T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, item)
}
