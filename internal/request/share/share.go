// Package share divides the concurrent calls of one daemon fairly among the meshes
// whose callers use it: half of the calls are reserved in equal parts, the other
// half is shared first come, first served. So a mesh under overload leaves room for
// the others, and a single active mesh can use most of the calls.
//
// The package does no I/O and reads no clock.
package share

// Limiter counts calls by mesh. It is not safe for concurrent use.
type Limiter struct {
	limit int
	// used has an entry for each mesh that ever made a call; there are few meshes.
	used map[string]int
	// total is the sum of used and never exceeds limit.
	total int
}

// New returns a Limiter for at most limit concurrent calls.
func New(limit int) *Limiter { return &Limiter{limit: limit, used: map[string]int{}} }

// Enter admits a call if there is room and reports whether it did. For each admitted
// call, Leave must be called.
func (l *Limiter) Enter(mesh string) bool {
	if _, known := l.used[mesh]; !known {
		l.used[mesh] = 0
	}
	if l.total >= l.limit || (l.used[mesh] >= l.reservedPerMesh() && l.sharedInUse() >= l.limit-l.reservedPerMesh()*len(l.used)) {
		return false
	}
	l.used[mesh]++
	l.total++
	return true
}

// Leave ends an admitted call.
func (l *Limiter) Leave(mesh string) {
	l.used[mesh]--
	l.total--
}

// reservedPerMesh is the number of calls reserved for each mesh.
func (l *Limiter) reservedPerMesh() int { return l.limit / (2 * len(l.used)) }

// sharedInUse is the number of calls in excess of the meshes' reservations.
func (l *Limiter) sharedInUse() int {
	sum := 0
	for _, n := range l.used {
		sum += max(0, n-l.reservedPerMesh())
	}
	return sum
}
