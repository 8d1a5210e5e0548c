// Package share divides the concurrent calls of one daemon fairly among the
// meshes whose callers reach it: half of them are set aside in equal parts, the
// rest goes to whoever comes first. So a mesh in a storm leaves room for the
// others, and one that is alone gets most of it.
//
// The package does no I/O and reads no clock.
package share

// Limiter counts calls by mesh. It is not safe for concurrent use.
type Limiter struct {
	limit int
	// used has an entry for each mesh that was ever asked for; meshes are few.
	used map[string]int
	// total is the sum of used, at most limit.
	total int
}

// New returns a Limiter for at most limit calls at a time.
func New(limit int) *Limiter { return &Limiter{limit: limit, used: map[string]int{}} }

// Enter counts a call in and reports whether there was room. With true, the
// caller must call Leave.
func (l *Limiter) Enter(mesh string) bool {
	if _, known := l.used[mesh]; !known {
		l.used[mesh] = 0
	}
	if l.total >= l.limit || (l.used[mesh] >= l.part() && l.common() >= l.limit-l.part()*len(l.used)) {
		return false
	}
	l.used[mesh]++
	l.total++
	return true
}

// Leave counts a call out.
func (l *Limiter) Leave(mesh string) {
	l.used[mesh]--
	l.total--
}

// part is what is set aside for each mesh.
func (l *Limiter) part() int { return l.limit / (2 * len(l.used)) }

func (l *Limiter) common() int {
	sum := 0
	for _, n := range l.used {
		sum += max(0, n-l.part())
	}
	return sum
}
