package once

import (
	"time"

	"github.com/daisygate/daisygate/internal/result"
)

// When to come back, told with refusals.
const (
	// RetryInProgress is told while the first run is in progress.
	RetryInProgress = time.Second
	// RetryUnavailable is told while no majority of sources is reached.
	RetryUnavailable = 2 * time.Second
	// maxRetryFull bounds what is told when the table is full.
	maxRetryFull = time.Minute
)

// Step is what to do with a request after its claim was answered; at most one
// of Refusal and Replay is set. With neither the request is to be sent on.
type Step struct {
	// Refusal ends the request without a run.
	Refusal    *result.Error
	RetryAfter time.Duration
	// Replay is the first answer, to be sent again.
	Replay *Answer
}

// Open decides on the reply to a claim. ownerLives is asked about the owner of
// a held claim.
func Open(reply Reply, ownerLives func(Token) bool) Step {
	switch reply.Verdict {
	case Granted:
		return Step{}
	case Answered:
		return openAnswered(reply.Answer)
	case Held:
		if ownerLives(reply.Owner) {
			return refuse(result.InProgress, RetryInProgress)
		}
		return refuse(result.OwnerLost, 0)
	case Mismatch:
		return refuse(result.KeyReused, 0)
	case Full:
		return refuse(result.ClaimsFull, min(max(reply.Wait, time.Second), maxRetryFull))
	}
	return Unavailable()
}

func openAnswered(a *Answer) Step {
	if a.Dropped {
		return refuse(result.AnswerNotKept, 0)
	}
	if a.Code != result.OK {
		return refuse(a.Code, 0)
	}
	return Step{Replay: a}
}

// Unavailable refuses a request whose claim could not be made durable. This
// sending certainly was not run, an earlier one may have; its token must be
// released, because the claim may have been committed all the same.
func Unavailable() Step { return refuse(result.ClaimsUnavailable, RetryUnavailable) }

func refuse(code result.Code, after time.Duration) Step {
	return Step{Refusal: result.Errorf(code, "%s", code.Meaning()), RetryAfter: after}
}

// Close returns what is recorded of a run that ended with code, or nil if the
// claim is to be released, because the request certainly was not run. answer is
// the whole answer of the backend server; nil with result.OK means that it was
// too large to be kept.
func Close(code result.Code, answer *Answer) *Answer {
	switch {
	case code.Outcome() == result.NotRun:
		return nil
	case code != result.OK:
		return &Answer{Code: result.AnswerLost}
	case answer == nil:
		return &Answer{Dropped: true}
	}
	return answer
}
