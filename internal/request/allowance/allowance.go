// Package allowance limits the requests of organisations at all daemons together, without a
// round trip before a request.
//
// Each daemon counts the requests that it admits in a Meter and reports them several times per
// second to an Aggregator, which sums up the reports of a few dozen daemons and reports the sum
// to the Ledger. The Ledger counts the requests of each organisation within a sliding window. An
// organisation that has used little of its limit is not restricted anywhere. When it nears the
// limit, the Ledger divides a rate among the Aggregators, and these among their daemons, by the
// demand of each; every daemon then enforces its share until enough of the limit is left again.
// Requests admitted before the shares arrive may exceed the limit; the shares are lower until
// these requests have left the window. The design follows the capacity leases of Doorman and the distributed rate
// limiting of Raghavan et al., "Cloud Control with Distributed Rate Limiting" (2007).
//
// A daemon without contact to the Ledger falls back to a part of the limit that all daemons can
// use at the same time without exceeding it.
//
// The package does no I/O and reads no clock.
package allowance

import (
	"cmp"
	"time"
)

// Name identifies an organisation.
type Name struct{ Mesh, Organisation string }

// Limit is the limit of one organisation within any window: Rate requests per second, Burst more
// at any time, and Slack more for lack of precision.
type Limit struct{ Rate, Burst, Slack float64 }

// perWindow returns the number of requests that the limit allows within a window.
func (l Limit) perWindow(window time.Duration) float64 {
	return max(l.Rate*window.Seconds()+l.Burst+l.Slack, 1)
}

// Usage counts the requests of one organisation since the previous report. Admitted is negative
// if more earlier requests turned out not to have run than new ones were admitted.
type Usage struct {
	Name              Name
	Admitted, Refused int32
}

// dropRefunds removes refunds that exceed what was admitted. A report without an acknowledgement may
// have arrived: repeating refunds could credit them twice, and the limit would be exceeded.
func (u *Usage) dropRefunds() { u.Admitted = max(u.Admitted, 0) }

// Report is a report from a Meter to an Aggregator, or from an Aggregator to the Ledger.
type Report struct {
	// From is the name of the reporting daemon.
	From string
	// Members is the number of daemons whose usage the report of an Aggregator contains.
	Members int
	Usage   []Usage
}

// Share restricts an organisation to a rate in requests per second at the receiver.
type Share struct {
	Name Name
	Rate float64
	// Accept is the part of the organisation's demand, in [0, 1], that its limit covers. A
	// receiver without tokens of its own admits a first request with this probability.
	Accept float64
}

// Reply is the response to a Report. Organisations without a Share are not restricted.
type Reply struct {
	// Attached is set if the sender has had contact with the Ledger recently. Otherwise the
	// receiver must use its fallback.
	Attached bool
	Shares   []Share
}

const (
	// attachmentTimeout is how long the shares in a reply are valid.
	attachmentTimeout = time.Second
	// memberTimeout is how long the demand of a member counts after its last report.
	memberTimeout = 2 * time.Second
	// accountTimeout is how long an unused account is kept.
	accountTimeout = time.Minute
	// demandWindow is the time over which demand is averaged.
	demandWindow = 2 * time.Second
)

// compare orders names by mesh and organisation.
func (n Name) compare(o Name) int {
	return cmp.Or(cmp.Compare(n.Mesh, o.Mesh), cmp.Compare(n.Organisation, o.Organisation))
}
