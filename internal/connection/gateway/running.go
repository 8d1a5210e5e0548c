package gateway

// Running is the number of requests in progress on a backend server beside
// this daemon; 0 for one that is not known.
func (g *Gateway) Running(server string) int {
	gate := g.gateOf(server)
	if gate == nil {
		return 0
	}
	return gate.Running()
}
