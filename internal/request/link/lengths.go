package link

import "sync"

const (
	// lengthWeight is the weight of one answer in the usual length of its kind: about
	// the last ten count.
	lengthWeight = 0.1
	// maxKinds bounds the kinds that are told apart; further ones have no length.
	maxKinds = 256
)

// Lengths learns how long the answers to each kind of request usually are: before a
// request runs, nobody knows how long its answer will be. It is safe for concurrent
// use.
type Lengths struct {
	mu    sync.Mutex
	usual map[string]float64
}

// Note takes in the length of an answer, in bytes; one below 0 is not told.
func (l *Lengths) Note(kind string, bytes int64) {
	if bytes < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.usual[kind]
	switch {
	case known:
		l.usual[kind] = before + lengthWeight*(float64(bytes)-before)
	case len(l.usual) < maxKinds:
		if l.usual == nil {
			l.usual = map[string]float64{}
		}
		l.usual[kind] = float64(bytes)
	}
}

// Usual is the smoothed length of the answers to a kind, in bytes; 0 is not known.
func (l *Lengths) Usual(kind string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.usual[kind])
}
