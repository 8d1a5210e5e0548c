// Package eventqueue orders the events of a simulation by time. It is meant for tests that replay load.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds functions to run at points in simulated time. The zero value is empty.
type Queue struct{ events events }

// Len returns the number of events.
func (q *Queue) Len() int { return len(q.events) }

// Next returns the time of the earliest event; the queue must not be empty.
func (q *Queue) Next() time.Time { return q.events[0].at }

// Push adds an event.
func (q *Queue) Push(at time.Time, do func()) { heap.Push(&q.events, event{at, do}) }

// Pop removes and returns the earliest event; the queue must not be empty.
func (q *Queue) Pop() (at time.Time, do func()) {
	e := heap.Pop(&q.events).(event)
	return e.at, e.do
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
