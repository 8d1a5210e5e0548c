package quarantine

import "time"

// EventKind is what was decided about requests.
type EventKind uint8

const (
	// Crashed: a server crashed, and the requests are suspects.
	Crashed EventKind = iota + 1
	// CrashedElsewhere: another daemon observed a crash while the request was in progress.
	CrashedElsewhere
	// Cleared: a suspect ended well.
	Cleared
	// Evicted: the report on a request was dropped, because there are too many.
	Evicted
)

// Event tells why the reports have changed, for logs and metrics.
type Event struct {
	Kind EventKind
	// Server is the address of the server if Kind is Crashed, else "".
	Server   string
	Requests []Blamed
	// Spared are the requests that were in progress too when Server crashed, but had lost their
	// connection earlier or began when it was already crashing.
	Spared []Blamed
}

// Blamed is a request that an Event is about.
type Blamed struct {
	Fingerprint Fingerprint
	Content     Content
	// Mesh, Method, Path and Origin are those of the Identity; "" if Kind is Evicted.
	Mesh, Method, Path, Origin string
	// Crashes is Suspect.Crashes after the event.
	Crashes uint8
	// Alone is set if the request ran alone when the server crashed.
	Alone bool
	// Age is the time since the run began, and Abandoned is set if it had been abandoned; both are
	// known if Kind is Crashed.
	Age       time.Duration
	Abandoned bool
}

func newBlamed(id *Identity) Blamed {
	return Blamed{Fingerprint: id.Fingerprint(), Content: id.Content(), Mesh: id.Mesh, Method: id.Method, Path: id.Path, Origin: id.Origin}
}

// TakeEvents returns the events since the last call.
func (c *Core) TakeEvents() []Event {
	events := c.ledger.events
	c.ledger.events = nil
	return events
}
