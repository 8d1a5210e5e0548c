// Package result defines the numbered result codes that every response of
// daisygate carries, and the outcome that each implies for the request: it ran on
// a backend server, it certainly did not run, or it may have run.
//
// docs/RESULT-CODES.md documents the codes for on-call engineers; a test checks that
// it matches this package. A published code never changes its number or meaning.
package result

import (
	"fmt"
	"net/http"
)

// Code is a numbered result. The hundreds digit is the area: 0xx success, 1xx
// configuration (operators), 2xx requests (callers), 3xx communication between
// daemons, 4xx backend server announcements, 5xx the command line.
type Code uint16

// Outcome is what is known about the execution of a request.
type Outcome uint8

// The outcomes of a request.
const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// NotRun means that the request certainly did not run on any backend server.
	NotRun
	// Run means that a backend server ran the request and its response is complete.
	Run
)

// String returns the wire form of the outcome.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Run:
		return "run"
	default:
		return "unknown"
	}
}

// ParseOutcome parses the wire form of an outcome. Any other text is Unknown, the
// outcome that makes no claim.
func ParseOutcome(s string) Outcome {
	switch s {
	case "not-run":
		return NotRun
	case "run":
		return Run
	default:
		return Unknown
	}
}

// The result codes.
const (
	OK Code = 0

	Accepted        Code = 100
	AlreadyAccepted Code = 101
	Answered        Code = 102
	ManifestInvalid Code = 110
	VersionConflict Code = 111
	VersionOld      Code = 112
	RouteConflict   Code = 113
	BaseMoved       Code = 114
	RevisionStale   Code = 115
	RolloutInvalid  Code = 116
	RolloutRunning  Code = 117
	// RolloutUnsettled means that the serving version of a service is not known yet.
	RolloutUnsettled Code = 118
	NoQuorum         Code = 120
	CommitUnknown    Code = 121
	StorageFailed    Code = 122
	NotSource        Code = 123
	StateDiverged    Code = 124
	FormatUnknown    Code = 125
	Unauthorized     Code = 130
	InputTooLarge    Code = 131
	UnknownResource  Code = 132
	WrongMethod      Code = 133
	TooManyRequests  Code = 134
	VersionNotHeld   Code = 135
	NodeUnreachable  Code = 136
	TextNotHeld      Code = 137

	NoRoute          Code = 210
	NoBackendServer  Code = 211
	Overloaded       Code = 212
	DeadlineTooShort Code = 213
	Draining         Code = 214
	Quarantined      Code = 215
	NotReady         Code = 216
	BackendRefused   Code = 217
	DaemonRefused    Code = 218
	BadRequest       Code = 219
	ServerRefused    Code = 220
	BodyTooLarge     Code = 221
	VersionRetired   Code = 222
	WrongServer      Code = 223
	RepeatDenied     Code = 224
	AnswerLost       Code = 230
	DeadlineExceeded Code = 231
	CallerLeft       Code = 232
	InProgress       Code = 233
	OwnerLost        Code = 234

	KeyReused         Code = 240
	AnswerNotKept     Code = 241
	ClaimsFull        Code = 242
	ClaimsUnavailable Code = 243
	BackendCrashed    Code = 244

	HeaderTooLarge     Code = 250
	TooManyConnections Code = 251

	NotControl Code = 311

	AnnounceInvalid Code = 410
	AnnounceFull    Code = 411
	AnnounceRemote  Code = 412
	AnnounceForeign Code = 413

	UsageError  Code = 500
	Unreachable Code = 501
	NotInForce  Code = 502
	NotIdle     Code = 503
	RolledBack  Code = 504
)

type codeInfo struct {
	name    string
	outcome Outcome
	http    int
	meaning string
}

var codeTable = map[Code]codeInfo{
	OK:               {"OK", Run, http.StatusOK, "A backend server ran the request; the answer is its own."},
	Accepted:         {"Accepted", Run, http.StatusOK, "The manifest was committed by a majority of sources."},
	AlreadyAccepted:  {"AlreadyAccepted", Run, http.StatusOK, "The same version with the same content was accepted before; this is the first answer again."},
	Answered:         {"Answered", Run, http.StatusOK, "The operator API answered the question or carried out the order."},
	ManifestInvalid:  {"ManifestInvalid", NotRun, http.StatusUnprocessableEntity, "The manifest has faults; each is listed with line and column."},
	VersionConflict:  {"VersionConflict", NotRun, http.StatusConflict, "This version number was accepted with other content; the winner is named."},
	VersionOld:       {"VersionOld", NotRun, http.StatusConflict, "A higher version of this mesh was accepted already."},
	RouteConflict:    {"RouteConflict", NotRun, http.StatusConflict, "Another mesh already has a route for the same host and path."},
	BaseMoved:        {"BaseMoved", NotRun, http.StatusPreconditionFailed, "The manifest builds on a version that is not the current one; the current one is named."},
	RevisionStale:    {"RevisionStale", NotRun, http.StatusConflict, "Between two sources: the change was made of a manifest that is not the newest any more; it is sent again whole."},
	RolloutInvalid:   {"RolloutInvalid", NotRun, http.StatusUnprocessableEntity, "The order for a roll-out has a fault, which is named; nothing was kept."},
	RolloutRunning:   {"RolloutRunning", NotRun, http.StatusConflict, "Another roll-out of this service is not decided yet."},
	RolloutUnsettled: {"RolloutUnsettled", NotRun, http.StatusServiceUnavailable, "Which software version serves is not known yet; come back later."},
	NoQuorum:         {"NoQuorum", NotRun, http.StatusServiceUnavailable, "No majority of sources can be reached; nothing was accepted."},
	CommitUnknown:    {"CommitUnknown", Unknown, http.StatusGatewayTimeout, "The manifest was handed to the sources but no commit was seen in time; send the same again."},
	StorageFailed:    {"StorageFailed", NotRun, http.StatusInsufficientStorage, "The source cannot write to its data folder; it accepts nothing until that is mended."},
	NotSource:        {"NotSource", NotRun, http.StatusMisdirectedRequest, "This daemon is no source and knows none that answers."},
	StateDiverged:    {"StateDiverged", NotRun, http.StatusInsufficientStorage, "What this source holds differs from what the others accepted; it accepts nothing any more."},
	FormatUnknown:    {"FormatUnknown", NotRun, http.StatusInsufficientStorage, "The data folder holds a format of a newer release, which this one cannot read."},
	Unauthorized:     {"Unauthorized", NotRun, http.StatusUnauthorized, "The operator token is missing or wrong."},
	InputTooLarge:    {"InputTooLarge", NotRun, http.StatusRequestEntityTooLarge, "The input is larger than this listener's limit."},
	UnknownResource:  {"UnknownResource", NotRun, http.StatusNotFound, "This listener knows no such path, mesh, daemon or backend server."},
	WrongMethod:      {"WrongMethod", NotRun, http.StatusMethodNotAllowed, "This listener does not take this method at this path."},
	TooManyRequests:  {"TooManyRequests", NotRun, http.StatusTooManyRequests, "The operator API of this daemon admits no more requests now; come back later."},
	VersionNotHeld:   {"VersionNotHeld", NotRun, http.StatusNotFound, "The content of this accepted version is no longer held; only the version in force is."},
	NodeUnreachable:  {"NodeUnreachable", Unknown, http.StatusBadGateway, "The daemon that was named did not answer; the order may have been carried out and is safe to repeat."},
	TextNotHeld:      {"TextNotHeld", NotRun, http.StatusServiceUnavailable, "The newest manifest was accepted, and its operator's text is not at hand."},
	NoRoute:          {"NoRoute", NotRun, http.StatusNotFound, "No route of the version in force matches the request."},
	NoBackendServer:  {"NoBackendServer", NotRun, http.StatusServiceUnavailable, "No backend server of the service is present."},
	Overloaded:       {"Overloaded", NotRun, http.StatusServiceUnavailable, "All slots and the queue are full."},
	DeadlineTooShort: {"DeadlineTooShort", NotRun, http.StatusServiceUnavailable, "The request could not have been run within its deadline."},
	Draining:         {"Draining", NotRun, http.StatusServiceUnavailable, "The backend server or the daemon is leaving and takes no new work."},
	Quarantined:      {"Quarantined", NotRun, http.StatusServiceUnavailable, "This request was in progress at several crashes of backend servers and is refused for a while."},
	NotReady:         {"NotReady", NotRun, http.StatusServiceUnavailable, "This daemon has no confirmed version in force yet."},
	BackendRefused:   {"BackendRefused", NotRun, http.StatusServiceUnavailable, "The backend server's address refused the connection."},
	DaemonRefused:    {"DaemonRefused", NotRun, http.StatusServiceUnavailable, "The daemon beside the backend server could not be reached."},
	BadRequest:       {"BadRequest", NotRun, http.StatusBadRequest, "The request is malformed."},
	ServerRefused:    {"ServerRefused", NotRun, http.StatusServiceUnavailable, "The backend server says that it did not run the request."},
	BodyTooLarge:     {"BodyTooLarge", NotRun, http.StatusRequestEntityTooLarge, "The request's body is larger than the manifest allows."},
	VersionRetired:   {"VersionRetired", NotRun, http.StatusServiceUnavailable, "The backend server's software version takes no new work; another one serves."},
	WrongServer:      {"WrongServer", NotRun, http.StatusServiceUnavailable, "Another backend server answered at the address than the one asked for, and did not run the request."},
	RepeatDenied:     {"RepeatDenied", NotRun, http.StatusServiceUnavailable, "The request came to a server before, and the calls that its run would make are more repeats than the called service may get."},
	AnswerLost:       {"AnswerLost", Unknown, http.StatusBadGateway, "The request was handed over and no whole answer came back; it may have run."},
	DeadlineExceeded: {"DeadlineExceeded", Unknown, http.StatusGatewayTimeout, "The deadline passed while the request was with a backend server; it may have run."},
	CallerLeft:       {"CallerLeft", Unknown, 499, "The caller went away while the request was with a backend server."},
	InProgress:       {"InProgress", Unknown, http.StatusConflict, "The first request under this idempotency key still runs; ask again for its answer."},
	OwnerLost:        {"OwnerLost", Unknown, http.StatusConflict, "The daemon that ran the first request under this idempotency key is lost; it is not run again."},
	AnnounceInvalid:  {"AnnounceInvalid", NotRun, http.StatusUnprocessableEntity, "The announcement has faults; each is listed."},
	AnnounceFull:     {"AnnounceFull", NotRun, http.StatusTooManyRequests, "The daemon takes no more backend servers beside it."},
	AnnounceRemote:   {"AnnounceRemote", NotRun, http.StatusForbidden, "The daemon takes announcements from its own instance only."},
	AnnounceForeign:  {"AnnounceForeign", NotRun, http.StatusUnprocessableEntity, "The announcement is not of the backend server that the settings of this instance or a manifest name."},
	UsageError:       {"UsageError", NotRun, http.StatusBadRequest, "The command line or the settings have faults."},
	Unreachable:      {"Unreachable", NotRun, http.StatusServiceUnavailable, "No daemon answered at the given address."},
	NotInForce:       {"NotInForce", Run, http.StatusGatewayTimeout, "The manifest was accepted, but was not in force on every daemon in the time given."},
	NotIdle:          {"NotIdle", Run, http.StatusGatewayTimeout, "The drain was begun and takes no new work, but requests were still in progress after the time given."},
	RolledBack:       {"RolledBack", Run, http.StatusOK, "The roll-out was decided against its version; the version before serves."},

	KeyReused:         {"KeyReused", NotRun, http.StatusUnprocessableEntity, "The idempotency key was used for another request; this one was not run."},
	AnswerNotKept:     {"AnswerNotKept", Run, http.StatusConflict, "The first request under this idempotency key ran; its answer is not kept, and it is not run again."},
	ClaimsFull:        {"ClaimsFull", NotRun, http.StatusServiceUnavailable, "The sources hold as many idempotency keys as they may; come back when older ones have expired."},
	ClaimsUnavailable: {"ClaimsUnavailable", NotRun, http.StatusServiceUnavailable, "No majority of sources can record the idempotency key now; this sending was not run. What an earlier one did is told when they are back."},
	BackendCrashed:    {"BackendCrashed", Unknown, http.StatusBadGateway, "The backend server crashed while the request was in progress; it may have run."},

	HeaderTooLarge:     {"HeaderTooLarge", NotRun, http.StatusRequestHeaderFieldsTooLarge, "The request line and header are larger than this listener's limit."},
	TooManyConnections: {"TooManyConnections", NotRun, http.StatusServiceUnavailable, "This listener has as many connections as it takes."},
	NotControl:         {"NotControl", NotRun, http.StatusBadRequest, "The connection is neither a daemon's control connection nor a call that a daemon passed on."},
}

// Codes returns the names of all defined codes.
func Codes() map[Code]string {
	names := make(map[Code]string, len(codeTable))
	for code, info := range codeTable {
		names[code] = info.name
	}
	return names
}

// String returns number and name, such as "212 Overloaded".
func (c Code) String() string {
	if info, ok := codeTable[c]; ok {
		return fmt.Sprintf("%03d %s", uint16(c), info.name)
	}
	return fmt.Sprintf("%03d", uint16(c))
}

// Outcome returns the outcome that the code implies for the request.
func (c Code) Outcome() Outcome { return codeTable[c].outcome }

// HTTPStatus returns the HTTP status of a response with the code.
func (c Code) HTTPStatus() int {
	if info, ok := codeTable[c]; ok {
		return info.http
	}
	return http.StatusInternalServerError
}

// Meaning returns the explanation of the code in docs/RESULT-CODES.md.
func (c Code) Meaning() string { return codeTable[c].meaning }

// Error is a result code with details of this occurrence.
type Error struct {
	Code   Code
	Detail string
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Code.String() + ": " + e.Detail }

// Errorf returns an *Error with a formatted detail.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}
