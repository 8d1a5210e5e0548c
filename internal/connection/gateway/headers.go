package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The internal headers between daemons. Callers' own headers of this prefix are
// removed on arrival, and none reaches a backend server.
const (
	prefix         = "Daisygate-"
	headerServer   = prefix + "Server"
	headerMesh     = prefix + "Mesh"
	headerService  = prefix + "Service"
	headerPriority = prefix + "Priority"
	headerTimeout  = prefix + "Timeout"
	headerLoad     = prefix + "Load"
)

// hopByHop are the connection's own headers (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// cleanHeader returns a copy of h without hop-by-hop and internal headers.
func cleanHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, prefix) {
			delete(out, name)
		}
	}
	return out
}

// setTimeout writes the remaining time, in microseconds: clocks of instances
// are not compared.
func setTimeout(h http.Header, remaining time.Duration) {
	h.Set(headerTimeout, strconv.FormatInt(remaining.Microseconds(), 10))
}

func timeoutOf(h http.Header) (time.Duration, bool) {
	n, err := strconv.ParseInt(h.Get(headerTimeout), 10, 64)
	return time.Duration(n) * time.Microsecond, err == nil && n > 0
}
