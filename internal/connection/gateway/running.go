package gateway

// Running returns the number of requests in progress on a backend server of this
// instance, or 0 if the server is unknown.
func (g *Gateway) Running(server string) int {
	g.mu.Lock()
	b := g.backends[server]
	g.mu.Unlock()
	if b == nil {
		return 0
	}
	return b.gate.Running()
}
