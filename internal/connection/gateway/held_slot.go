package gateway

import (
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/request/quarantine"
)

// heldSlot is the slot of a request on a backend server. It is released once the server has finished
// the request and it is known whether the server crashed: otherwise waiting requests would start on a
// server that is down, and be suspects of its crash.
type heldSlot struct {
	release func()

	mu                    sync.Mutex
	isFinished, isChecked bool
}

// finished records that the server has finished the request or never received it.
func (s *heldSlot) finished() { s.advance(&s.isFinished) }

// checked records that the server answered, or that it is known whether it crashed. Calls after the
// first have no effect.
func (s *heldSlot) checked() { s.advance(&s.isChecked) }

// ended calls checked once nothing of a run can crash the server any more. After an isolated run that
// was abandoned, the server stays idle for a while, so that a crash is attributed to no other request.
func (s *heldSlot) ended(isolated bool, status RunStatus) {
	if isolated && status.mayGoOn() {
		time.AfterFunc(quarantine.AbandonedWindow, s.checked)
		return
	}
	s.checked()
}

func (s *heldSlot) advance(step *bool) {
	s.mu.Lock()
	complete := !*step && (s.isFinished || s.isChecked)
	*step = true
	s.mu.Unlock()
	if complete {
		s.release()
	}
}
