package limit

import "time"

const (
	// minLag is how long a client must have kept the server waiting before its
	// connection is closed in favor of a new one: longer than the bytes of a client
	// that sends at once stay in transit after the connection was accepted.
	minLag = 5 * time.Millisecond
	// minTransferLag is how far a client must be behind with a body or a response
	// before it is disconnected for the memory that the transfer takes up.
	minTransferLag = 250 * time.Millisecond
	// minRate is the rate at which a client may send or read without falling
	// behind, in bytes per second.
	minRate = 8 << 10
)

// pace measures how far a client is behind minRate while the server waits for it.
type pace struct {
	// behind is how far it was behind at the end of the last wait, and since the
	// beginning of the current wait; zero if the server does not wait.
	behind time.Duration
	since  time.Time
}

func (p *pace) begin(now time.Time) { p.since = now }

// end ends a wait in which n bytes were transferred.
func (p *pace) end(now time.Time, n int) {
	p.behind = max(0, p.lag(now)-time.Duration(n)*time.Second/minRate)
	p.since = time.Time{}
}

// lag returns how far the client is behind now.
func (p *pace) lag(now time.Time) time.Duration {
	if p.since.IsZero() {
		return p.behind
	}
	return p.behind + now.Sub(p.since)
}

// waiting returns how far the client is behind, or 0 if the server does not wait for it.
func (p *pace) waiting(now time.Time) time.Duration {
	if p.since.IsZero() {
		return 0
	}
	return p.lag(now)
}

// rank orders connections by how little they lose when they are closed. Connections that have had
// their last response come first, slow clients next, and idle ones last. The zero value is below all.
type rank struct {
	class int
	lag   time.Duration
}

const (
	rankNone = iota
	rankIdle
	rankSlow
	rankClosing
)

func (r rank) less(o rank) bool {
	return r.class < o.class || r.class == o.class && r.lag < o.lag
}

// rank returns the rank now. The caller must hold c.mu.
func (c *conn) rank(now time.Time) rank {
	class, lag := rankNone, now.Sub(c.since)
	switch c.phase {
	case phaseHead:
		class = rankSlow
	case phaseIdle:
		class = rankIdle
	case phaseClosing:
		return rank{class: rankClosing, lag: lag}
	case phaseRequest:
		class, lag = rankSlow, max(c.body.waiting(now), c.response.waiting(now))
	}
	if class == rankNone || lag < minLag {
		return rank{}
	}
	return rank{class: class, lag: lag}
}

// readerRank returns the rank among the clients that the server waits for to read a response, and
// senderRank among those that it waits for to send a body. The caller must hold c.mu.
func (c *conn) readerRank(now time.Time) rank { return c.transferRank(c.response.waiting(now)) }
func (c *conn) senderRank(now time.Time) rank { return c.transferRank(c.body.waiting(now)) }

func (c *conn) transferRank(lag time.Duration) rank {
	if c.phase != phaseRequest || lag < minTransferLag {
		return rank{}
	}
	return rank{class: rankSlow, lag: lag}
}
