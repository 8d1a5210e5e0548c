package admit

// failingWeight is the weight of one request in the share that fails: about the
// last ten count.
const failingWeight = 0.1

// Ended takes in whether a request that came to the server failed there.
func (c *Core) Ended(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	c.failing += failingWeight * (sample - c.failing)
}

// Failing is the smoothed share of the requests that fail.
func (c *Core) Failing() float64 { return c.failing }
