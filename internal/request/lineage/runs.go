// Package lineage estimates which requests that enter at an instance were caused by repeats.
//
// The backend server on a daemon's instance makes calls of its own while it runs a request. A
// call made by a repeated run is a repeat at the called service, but calls do not identify the
// run that made them. What is known is the fraction of the current runs that are repeats, and
// the services from whose instances the requests on a route come.
//
// The package does no I/O and reads no clock.
package lineage

// Runs counts the runs in progress on the backend servers of a daemon's instance. The zero
// value counts none. It is not safe for concurrent use.
type Runs struct {
	// running counts repeatable requests in progress; others are never repeated.
	running int
	// expectedRepeats is the sum of the probabilities that a run is a repeat.
	expectedRepeats float64
}

// Begin counts the start of a repeatable request that is a repeat with the given probability.
func (r *Runs) Begin(repeat float64) {
	r.running++
	r.expectedRepeats += repeat
}

// End counts the end of a request, with the same probability as at its Begin.
func (r *Runs) End(repeat float64) {
	r.running--
	r.expectedRepeats -= repeat
	if r.running == 0 {
		r.expectedRepeats = 0 // removes rounding errors
	}
}

// ExpectedRepeats returns the expected number of repeats among the runs.
func (r *Runs) ExpectedRepeats() float64 { return max(r.expectedRepeats, 0) }

// Share returns the probability that a call made by one of the runs was caused by a repeat.
func (r *Runs) Share() float64 {
	if r.running == 0 {
		return 0
	}
	return min(max(r.expectedRepeats/float64(r.running), 0), 1)
}
