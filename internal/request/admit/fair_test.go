package admit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Load of the simulation of organisations at one backend server.
const (
	fairSlots         = 9
	fairService       = 140 * time.Millisecond
	fairOrganisations = 10
	// fairLoad is the load of all organisations without a surge, in parts of the capacity.
	fairLoad   = 0.8
	fairTarget = 400 * time.Millisecond
	fairLimit  = time.Second
)

// fairEvent is the arrival of a ticket, or its end if finished is set.
type fairEvent struct {
	at       time.Time
	ticket   Ticket
	attempt  int
	finished bool
}

type fairEvents []fairEvent

func (e fairEvents) Len() int           { return len(e) }
func (e fairEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e fairEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *fairEvents) Push(x any)        { *e = append(*e, x.(fairEvent)) }
func (e *fairEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fairSim offers one server the requests of organisations, of which the first surges.
type fairSim struct {
	core   *Core
	rand   *rand.Rand
	events fairEvents
	// tickets are those that wait or run, by ID.
	tickets map[uint64]fairEvent
	// repeats is how often the organisation that surges sends a refused request again, at once.
	repeats int
	// served counts the requests that were answered within the target, by organisation.
	served map[string]int
}

// organisationName returns the name of an organisation of the simulation.
func organisationName(i int) string { return fmt.Sprint("o", i) }

// runFair plays 20 s in which the first organisation sends surge times its requests and returns the
// number of requests served in time, by organisation.
func runFair(seed uint64, surge float64, repeats int) map[string]int {
	s := &fairSim{
		core: New(Config{Slots: fairSlots, QueueMax: 4 * fairSlots, Fixed: true}), rand: rand.New(rand.NewPCG(seed, 3)),
		tickets: map[uint64]fairEvent{}, repeats: repeats, served: map[string]int{},
	}
	start := time.Unix(1000, 0)
	perOrganisation := fairLoad * fairSlots / fairService.Seconds() / fairOrganisations
	id := uint64(0)
	for i := range fairOrganisations {
		rate := perOrganisation
		if i == 0 {
			rate *= surge
		}
		source := rand.New(rand.NewPCG(seed, uint64(i+10)))
		for at := start; ; {
			at = at.Add(time.Duration(source.ExpFloat64() / rate * float64(time.Second)))
			if at.Sub(start) > 20*time.Second {
				break
			}
			id++
			s.events = append(s.events, fairEvent{at: at, ticket: Ticket{
				ID: id, Organisation: organisationName(i), Kind: "k", Deadline: at.Add(fairLimit), Useful: at.Add(fairTarget),
			}})
		}
	}
	heap.Init(&s.events)
	for s.events.Len() > 0 {
		s.step(heap.Pop(&s.events).(fairEvent))
	}
	return s.served
}

func (s *fairSim) step(e fairEvent) {
	if e.finished {
		if !e.at.After(e.ticket.Useful) {
			s.served[e.ticket.Organisation]++
		}
		delete(s.tickets, e.ticket.ID)
		s.apply(e.at, s.core.Finish(e.at, e.ticket.Kind, fairService))
		return
	}
	s.tickets[e.ticket.ID] = e
	s.apply(e.at, s.core.Arrive(e.at, e.ticket))
}

func (s *fairSim) apply(now time.Time, decisions []Decision) {
	for _, d := range decisions {
		e := s.tickets[d.ID]
		if d.Verdict == Start {
			took := fairService/2 + time.Duration(s.rand.Float64()*float64(fairService))
			heap.Push(&s.events, fairEvent{at: now.Add(took), ticket: e.ticket, finished: true})
			continue
		}
		delete(s.tickets, d.ID)
		if e.ticket.Organisation == organisationName(0) && e.attempt < s.repeats {
			e.at, e.attempt = now.Add(10*time.Millisecond), e.attempt+1
			heap.Push(&s.events, e)
		}
	}
}

// TestSurgeOfOneOrganisation checks that all others keep 95% of what they are served without the
// surge, also if the organisation repeats refused requests at once, and that this one is served no
// less than without its surge.
func TestSurgeOfOneOrganisation(t *testing.T) {
	const seeds = 10
	for _, repeats := range []int{0, 5} {
		t.Run(fmt.Sprint(repeats, " repeats"), func(t *testing.T) {
			c := qt.New(t)
			before, after := map[string]int{}, map[string]int{}
			for seed := range uint64(seeds) {
				for name, served := range runFair(seed, 1, 0) {
					before[name] += served
				}
				for name, served := range runFair(seed, 7.5, repeats) {
					after[name] += served
				}
			}
			c.Check(after[organisationName(0)] >= before[organisationName(0)], qt.IsTrue)
			for i := range fairOrganisations {
				name := organisationName(i)
				c.Check(float64(after[name]) >= 0.95*float64(before[name]), qt.IsTrue,
					qt.Commentf("%s: %d served, %d without the surge", name, after[name], before[name]))
			}
		})
	}
}
