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
	KeyUnknown       Code = 225
	// AllowanceExceeded means that the organisation has used up its allowance.
	AllowanceExceeded Code = 226
	// KeysUnproven means that the daemon cannot prove that its API keys are current.
	KeysUnproven Code = 227
	// CallsFailing means that too many calls of such runs fail for the request to be run.
	CallsFailing     Code = 228
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
	// LeaveContested means that an announced leave is not in force.
	LeaveContested Code = 414
	// LeaveNotRetained means that a leave might be forgotten when the daemon is restarted.
	LeaveNotRetained Code = 415

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
	OK:                {"OK", Run, http.StatusOK, "A backend server ran the request and sent this response."},
	Accepted:          {"Accepted", Run, http.StatusOK, "The manifest was committed by a majority of sources."},
	AlreadyAccepted:   {"AlreadyAccepted", Run, http.StatusOK, "The same version with the same content was accepted before; the first response is repeated."},
	Answered:          {"Answered", Run, http.StatusOK, "The operator API answered the query or carried out the command."},
	ManifestInvalid:   {"ManifestInvalid", NotRun, http.StatusUnprocessableEntity, "The manifest is invalid; each error is listed with line and column."},
	VersionConflict:   {"VersionConflict", NotRun, http.StatusConflict, "This version number was accepted with other content; the winner is named."},
	VersionOld:        {"VersionOld", NotRun, http.StatusConflict, "A higher version of this mesh was accepted already."},
	RouteConflict:     {"RouteConflict", NotRun, http.StatusConflict, "Another mesh already has a route for the same host and path."},
	BaseMoved:         {"BaseMoved", NotRun, http.StatusPreconditionFailed, "The manifest builds on a version that is not the current one; the current one is named."},
	RevisionStale:     {"RevisionStale", NotRun, http.StatusConflict, "Between two sources: the change was based on a manifest that is no longer the newest; the manifest is sent again in full."},
	RolloutInvalid:    {"RolloutInvalid", NotRun, http.StatusUnprocessableEntity, "The order for a roll-out is invalid; the error is named, and nothing was stored."},
	RolloutRunning:    {"RolloutRunning", NotRun, http.StatusConflict, "Another roll-out of this service is not decided yet."},
	RolloutUnsettled:  {"RolloutUnsettled", NotRun, http.StatusServiceUnavailable, "Which software version serves is not known yet; try again later."},
	NoQuorum:          {"NoQuorum", NotRun, http.StatusServiceUnavailable, "No majority of sources can be reached; nothing was accepted."},
	CommitUnknown:     {"CommitUnknown", Unknown, http.StatusGatewayTimeout, "The manifest was passed to the sources, but no commit was observed in time; send the same manifest again."},
	StorageFailed:     {"StorageFailed", NotRun, http.StatusInsufficientStorage, "The source cannot write to its data directory; it accepts nothing until this is fixed."},
	NotSource:         {"NotSource", NotRun, http.StatusMisdirectedRequest, "This daemon is not a source and knows none that answers."},
	StateDiverged:     {"StateDiverged", NotRun, http.StatusInsufficientStorage, "The state of this source differs from what the others accepted; it no longer accepts anything."},
	FormatUnknown:     {"FormatUnknown", NotRun, http.StatusInsufficientStorage, "The data directory has the format of a newer release, which this release cannot read."},
	Unauthorized:      {"Unauthorized", NotRun, http.StatusUnauthorized, "The operator token is missing or wrong."},
	InputTooLarge:     {"InputTooLarge", NotRun, http.StatusRequestEntityTooLarge, "The input is larger than this listener's limit."},
	UnknownResource:   {"UnknownResource", NotRun, http.StatusNotFound, "This listener has no such path, mesh, daemon or backend server."},
	WrongMethod:       {"WrongMethod", NotRun, http.StatusMethodNotAllowed, "This listener does not accept this method at this path."},
	TooManyRequests:   {"TooManyRequests", NotRun, http.StatusTooManyRequests, "The operator API of this daemon accepts no more requests now; try again later."},
	VersionNotHeld:    {"VersionNotHeld", NotRun, http.StatusNotFound, "The content of this accepted version is no longer stored; only that of the version in force is."},
	NodeUnreachable:   {"NodeUnreachable", Unknown, http.StatusBadGateway, "The named daemon did not answer; the order may have been carried out and is safe to repeat."},
	TextNotHeld:       {"TextNotHeld", NotRun, http.StatusServiceUnavailable, "The newest manifest was accepted, but its operator's text is not available here."},
	NoRoute:           {"NoRoute", NotRun, http.StatusNotFound, "No route of the version in force matches the request."},
	NoBackendServer:   {"NoBackendServer", NotRun, http.StatusServiceUnavailable, "No backend server of the service is present."},
	Overloaded:        {"Overloaded", NotRun, http.StatusServiceUnavailable, "All slots and the queue are full."},
	DeadlineTooShort:  {"DeadlineTooShort", NotRun, http.StatusServiceUnavailable, "The request could not have been run within its deadline."},
	Draining:          {"Draining", NotRun, http.StatusServiceUnavailable, "The backend server or the daemon is leaving and accepts no new requests."},
	Quarantined:       {"Quarantined", NotRun, http.StatusServiceUnavailable, "This request was in progress during several crashes of backend servers and is refused temporarily."},
	NotReady:          {"NotReady", NotRun, http.StatusServiceUnavailable, "This daemon has no confirmed version in force yet."},
	BackendRefused:    {"BackendRefused", NotRun, http.StatusServiceUnavailable, "The backend server's address refused the connection."},
	DaemonRefused:     {"DaemonRefused", NotRun, http.StatusServiceUnavailable, "The daemon on the instance of the backend server could not be reached."},
	BadRequest:        {"BadRequest", NotRun, http.StatusBadRequest, "The request is malformed."},
	ServerRefused:     {"ServerRefused", NotRun, http.StatusServiceUnavailable, "The backend server says that it did not run the request."},
	BodyTooLarge:      {"BodyTooLarge", NotRun, http.StatusRequestEntityTooLarge, "The request's body is larger than the manifest allows."},
	VersionRetired:    {"VersionRetired", NotRun, http.StatusServiceUnavailable, "The backend server's software version accepts no new requests; another version serves."},
	WrongServer:       {"WrongServer", NotRun, http.StatusServiceUnavailable, "A backend server other than the requested one answered at the address, and did not run the request."},
	RepeatDenied:      {"RepeatDenied", NotRun, http.StatusServiceUnavailable, "The request reached a server before, and the calls that running it would make exceed the repeats that the called service may receive."},
	KeyUnknown:        {"KeyUnknown", NotRun, http.StatusUnauthorized, "The request has no API key, or one that no organisation of the mesh holds."},
	AllowanceExceeded: {"AllowanceExceeded", NotRun, http.StatusTooManyRequests, "The organisation has used up the rate of requests that the manifest allows it."},
	KeysUnproven:      {"KeysUnproven", NotRun, http.StatusServiceUnavailable, "This daemon has had no contact with the sources for so long that the API key may have been withdrawn."},
	CallsFailing:      {"CallsFailing", NotRun, http.StatusServiceUnavailable, "Calls that running the request would make fail at present, and other requests wait for the backend servers."},
	AnswerLost:        {"AnswerLost", Unknown, http.StatusBadGateway, "The request was passed on, but no complete response came back; it may have run."},
	DeadlineExceeded:  {"DeadlineExceeded", Unknown, http.StatusGatewayTimeout, "The deadline passed while the request was with a backend server; it may have run."},
	CallerLeft:        {"CallerLeft", Unknown, 499, "The caller disconnected while the request was with a backend server."},
	InProgress:        {"InProgress", Unknown, http.StatusConflict, "The first request under this idempotency key is still running; send it again to get its response."},
	OwnerLost:         {"OwnerLost", Unknown, http.StatusConflict, "The daemon that ran the first request under this idempotency key is lost; it is not run again."},
	AnnounceInvalid:   {"AnnounceInvalid", NotRun, http.StatusUnprocessableEntity, "The announcement is invalid; each error is listed."},
	AnnounceFull:      {"AnnounceFull", NotRun, http.StatusTooManyRequests, "The daemon accepts no more backend servers on its instance."},
	AnnounceRemote:    {"AnnounceRemote", NotRun, http.StatusForbidden, "The daemon accepts announcements from its own instance only."},
	AnnounceForeign:   {"AnnounceForeign", NotRun, http.StatusUnprocessableEntity, "The announcement does not match the backend server that the settings of this instance or a manifest name."},
	LeaveContested:    {"LeaveContested", NotRun, http.StatusConflict, "The announcement states that the backend server is leaving, but a newer announcement or another start of it, which accepts requests, is in force."},
	LeaveNotRetained:  {"LeaveNotRetained", NotRun, http.StatusServiceUnavailable, "The backend server gets no more requests, but no majority of sources has recorded that in time; the leave is not acknowledged yet."},
	UsageError:        {"UsageError", NotRun, http.StatusBadRequest, "The command line or the settings are invalid."},
	Unreachable:       {"Unreachable", NotRun, http.StatusServiceUnavailable, "No daemon answered at the given address."},
	NotInForce:        {"NotInForce", Run, http.StatusGatewayTimeout, "The manifest was accepted, but was not in force on every daemon within the given time."},
	NotIdle:           {"NotIdle", Run, http.StatusGatewayTimeout, "The drain has started and no new work is accepted, but requests were still in progress after the given time."},
	RolledBack:        {"RolledBack", Run, http.StatusOK, "The roll-out was decided against its version; the previous version serves."},

	KeyReused:         {"KeyReused", NotRun, http.StatusUnprocessableEntity, "The idempotency key was used for another request; this one was not run."},
	AnswerNotKept:     {"AnswerNotKept", Run, http.StatusConflict, "The first request under this idempotency key ran; its response is not stored, and it is not run again."},
	ClaimsFull:        {"ClaimsFull", NotRun, http.StatusServiceUnavailable, "The sources hold as many idempotency keys as allowed; try again when older ones have expired."},
	ClaimsUnavailable: {"ClaimsUnavailable", NotRun, http.StatusServiceUnavailable, "No majority of sources can record the idempotency key now; this request was not run. The outcome of an earlier one is reported once they are available again."},
	BackendCrashed:    {"BackendCrashed", Unknown, http.StatusBadGateway, "The backend server crashed while the request was in progress; it may have run."},

	HeaderTooLarge:     {"HeaderTooLarge", NotRun, http.StatusRequestHeaderFieldsTooLarge, "The request line and header are larger than this listener's limit."},
	TooManyConnections: {"TooManyConnections", NotRun, http.StatusServiceUnavailable, "This listener has reached its limit of connections."},
	NotControl:         {"NotControl", NotRun, http.StatusBadRequest, "The connection is neither a daemon's control connection nor a request that a daemon forwarded."},
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
