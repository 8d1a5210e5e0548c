package gateway

// Running is the number of requests in progress on a backend server beside
// this daemon; 0 for one that is not known.
func (g *Gateway) Running(server string) int {
	g.mu.Lock()
	b := g.backends[server]
	g.mu.Unlock()
	if b == nil {
		return 0
	}
	return b.gate.Running()
}
