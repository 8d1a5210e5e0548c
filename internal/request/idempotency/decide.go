package idempotency

import (
	"time"

	"github.com/daisygate/daisygate/internal/result"
)

// Retry-After times of refusals.
const (
	// RetryAfterInProgress applies while the first run is in progress.
	RetryAfterInProgress = time.Second
	// RetryAfterUnavailable applies while no majority of sources can be reached.
	RetryAfterUnavailable = 2 * time.Second
	// maxRetryAfterFull is the maximum if the table is full.
	maxRetryAfterFull = time.Minute
)

// Step is what to do with a request after the reply to its claim. At most one of
// Refusal and Replay is set; if neither is, the request is forwarded.
type Step struct {
	// Refusal is the final answer; the request is not run.
	Refusal    *result.Error
	RetryAfter time.Duration
	// Replay is the recorded first answer, which is sent again.
	Replay *Answer
}

// ClaimStep returns the step for the reply to a claim. ownerAlive reports whether the
// process of the owner of a held claim is alive.
func ClaimStep(reply Reply, ownerAlive func(Token) bool) Step {
	switch reply.Verdict {
	case Granted:
		return Step{}
	case Answered:
		return stepForAnswer(reply.Answer)
	case Held:
		if ownerAlive(reply.Owner) {
			return refuse(result.InProgress, RetryAfterInProgress)
		}
		return refuse(result.OwnerLost, 0)
	case Mismatch:
		return refuse(result.KeyReused, 0)
	case Full:
		return refuse(result.ClaimsFull, min(max(reply.Wait, time.Second), maxRetryAfterFull))
	}
	return Unavailable()
}

func stepForAnswer(a *Answer) Step {
	if a.Dropped {
		return refuse(result.AnswerNotKept, 0)
	}
	if a.Code != result.OK {
		return refuse(a.Code, 0)
	}
	return Step{Replay: a}
}

// Unavailable returns the refusal of a request whose claim could not be made durable.
// The request has certainly not run this time, but an earlier send of it may have.
// Its token must be released, because the claim may have been committed all the same.
func Unavailable() Step { return refuse(result.ClaimsUnavailable, RetryAfterUnavailable) }

func refuse(code result.Code, retryAfter time.Duration) Step {
	return Step{Refusal: result.Errorf(code, "%s", code.Meaning()), RetryAfter: retryAfter}
}

// AnswerToRecord returns the answer to record for a run that ended with code, or nil if the
// claim is to be released because the request has certainly not run. answer is the
// whole answer of the backend server; nil with result.OK means that it was too large
// to be kept.
func AnswerToRecord(code result.Code, answer *Answer) *Answer {
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
