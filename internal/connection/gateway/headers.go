package gateway

import (
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Daisygate's internal headers. Daemons send all of them to each other. From callers only
// Timeout and Depth are honoured, and only from the same instance, where a backend server
// may pass on those of the request that it is running.
const (
	headerPrefix = "Daisygate-"
	// HeaderTimeout is the time left until the response header, in microseconds. It is
	// relative because the clocks of instances are not compared. It is sent to backend
	// servers; for a body larger than maxBufferedRequestBody it counts from the end of
	// the body.
	HeaderTimeout = headerPrefix + "Timeout"
	// HeaderDepth is the number of backend servers that the request has passed through.
	// It is sent to backend servers.
	HeaderDepth = headerPrefix + "Depth"
	// HeaderOrganisation is the organisation whose API key the caller sent. It is sent to
	// backend servers.
	HeaderOrganisation = headerPrefix + "Organisation"
	// HeaderRateLimit is sent by backend servers: the number of requests per second, a decimal
	// number, that the server accepts from all daemons together. HeaderLeaving is "1" in the
	// responses of a server that is about to stop.
	HeaderRateLimit = headerPrefix + "Rate-Limit"
	HeaderLeaving   = headerPrefix + "Leaving"
	// HeaderContention is sent by backend servers: how long work takes on the server's instance
	// at this moment, a decimal number, 1 if as long as usual.
	HeaderContention = headerPrefix + "Contention"

	headerStall    = headerPrefix + "Stall"
	headerServer   = headerPrefix + "Server"
	headerMesh     = headerPrefix + "Mesh"
	headerService  = headerPrefix + "Service"
	headerPriority = headerPrefix + "Priority"
	headerRoute    = headerPrefix + "Route"
	headerFresh    = headerPrefix + "Fresh"
	headerAlone    = headerPrefix + "Alone"
	// headerLoad reports the server's load with each response to a forwarded call:
	// running requests, queued requests, limit, microseconds per response, bytes of large
	// bodies being sent to its instance, share of its requests that fail, bytes of large
	// responses waiting to leave its instance, and 1 if callers of all services use the
	// route. If the server has a rate limit, that follows, and the requests that may start
	// now because of it, less those that wait.
	headerLoad = headerPrefix + "Load"
	// headerTook is the server's processing time in microseconds. It is sent while a
	// rollout is running.
	headerTook = headerPrefix + "Took"
	// headerUseful is the time left until the response loses most of its value, in
	// microseconds; it may be negative.
	headerUseful = headerPrefix + "Useful"
	// headerBack is when to retry after a refusal, in microseconds.
	headerBack   = headerPrefix + "Back"
	headerOrigin = headerPrefix + "Origin"
	// headerRepeat is the probability (0 to 1) that a request is a retry: it was sent to
	// a server before, or was made by a run that was a retry.
	headerRepeat = headerPrefix + "Repeat"
	headerFixed  = headerPrefix + "Fixed"
	// headerCall tells who sends the requests on the route (package callgraph): the verdict, its age
	// in microseconds, and a fingerprint of the route's services. In a request that follows: 1 if it
	// came from the sending daemon's instance while a backend server there ran a request, plus 2 if the
	// configuration makes it a call of one. It is sent in meshes that share load.
	headerCall = headerPrefix + "Call"
	// headerStatement holds what a backend server has stated about itself: the rate limit in
	// requests per second, 0 for none, whether the server is leaving, when it started in Unix
	// milliseconds, 0 if unknown, and its boot. It is sent with a forwarded request if the
	// sending daemon knows a rate limit, and with its response if the server has stated
	// something or that limit is outdated.
	headerStatement = headerPrefix + "Statement"
	// headerKindTime is the usual time of the requests on the route, in microseconds, as known
	// to the daemon that forwards one. It is sent in meshes that share load.
	headerKindTime = headerPrefix + "Kind-Time"
	// headerSpeed reports, in meshes that share load, the server's slowness and contention, 0 if
	// unknown, and the time that it took for the request in microseconds, 0 without a response.
	headerSpeed = headerPrefix + "Speed"
)

// maxDepth is the maximum depth of nested calls; a deeper call is considered a loop.
const maxDepth = 32

// isHopByHop reports whether name is a hop-by-hop header (RFC 9110, section 7.6.1) or one
// that frames a message.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// skipHeader returns a function that reports which headers of h are not forwarded:
// hop-by-hop headers, internal headers, headers that the HTTP client sets itself, and
// those listed in the Connection header.
func skipHeader(h http.Header) func(name string) bool {
	options := connectionOptions(h)
	return func(name string) bool {
		switch name {
		case "Host", "Content-Length", "Expect":
			return true
		}
		return isHopByHop(name) || strings.HasPrefix(name, headerPrefix) || options[name]
	}
}

// skipTrailer reports whether a trailer is not forwarded. Trailers arrive after the request
// was authenticated, so that they must not contain what identifies the caller (RFC 9110,
// section 6.5.1).
func skipTrailer(name string) bool {
	return name == headerAuthorization || isHopByHop(name) || strings.HasPrefix(name, headerPrefix)
}

// connectionOptions returns the header names listed in the Connection header, or nil if
// there are none.
func connectionOptions(h http.Header) map[string]bool {
	var names map[string]bool
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if names == nil {
				names = map[string]bool{}
			}
			names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// copyHeader copies a response header into dst, without hop-by-hop and internal headers.
// The value slices are shared.
func copyHeader(dst, src http.Header) {
	options := connectionOptions(src)
	for name, values := range src {
		if !isHopByHop(name) && !strings.HasPrefix(name, headerPrefix) && !options[name] {
			dst[name] = values
		}
	}
}

func formatMicroseconds(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Microseconds()), 10)
}

func parseDurationHeader(h http.Header, name string) (time.Duration, bool) {
	values := h[name]
	if len(values) == 0 {
		return 0, false
	}
	n, err := strconv.ParseInt(values[0], 10, 64)
	const maxMicros = int64(24 * time.Hour / time.Microsecond)
	return time.Duration(n) * time.Microsecond, err == nil && n > 0 && n <= maxMicros
}

func parseIntHeader(h http.Header, name string) (int, bool) {
	values := h[name]
	if len(values) == 0 {
		return 0, false
	}
	n, err := strconv.Atoi(values[0])
	return n, err == nil && n >= 0
}

// sameInstance reports whether a request came from this instance.
func sameInstance(r *http.Request) bool {
	remote, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	if ip := net.ParseIP(remote); ip != nil && ip.IsLoopback() {
		return true
	}
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	host, _, err := net.SplitHostPort(local.String())
	return err == nil && host == remote
}

// nestedCall returns the depth and the remaining time that a backend server passed on
// with a call of its own.
func nestedCall(r *http.Request) (depth int, timeout time.Duration) {
	if !sameInstance(r) {
		return 0, 0
	}
	depth, _ = parseIntHeader(r.Header, HeaderDepth)
	timeout, _ = parseDurationHeader(r.Header, HeaderTimeout)
	return depth, timeout
}

// requestTarget returns the request target in origin form.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
