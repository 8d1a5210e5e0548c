package link

import "sync"

const (
	// lengthWeight is the weight of one answer in the smoothed length of its kind, which
	// thus covers about the last ten answers.
	lengthWeight = 0.1
	// maxKinds bounds the number of kinds tracked; further kinds have no length.
	maxKinds = 256
)

// Lengths learns the usual length of the answers to each kind of request, because the
// length of an answer is not known before the request runs. It is safe for concurrent
// use.
type Lengths struct {
	mu       sync.Mutex
	smoothed map[string]float64
}

// Note records the length of an answer in bytes; a negative length is unknown and ignored.
func (l *Lengths) Note(kind string, bytes int64) {
	if bytes < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	previous, known := l.smoothed[kind]
	switch {
	case known:
		l.smoothed[kind] = previous + lengthWeight*(float64(bytes)-previous)
	case len(l.smoothed) < maxKinds:
		if l.smoothed == nil {
			l.smoothed = map[string]float64{}
		}
		l.smoothed[kind] = float64(bytes)
	}
}

// Usual returns the smoothed length of the answers to a kind in bytes; 0 if unknown.
func (l *Lengths) Usual(kind string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.smoothed[kind])
}
