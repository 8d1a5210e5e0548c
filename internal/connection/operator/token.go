package operator

import (
	"net/netip"
	"os"
	"strings"

	"github.com/daisygate/daisygate/internal/result"
)

// ReadToken reads a token file: its content without surrounding white space.
// An empty path is no token; a file that cannot be read or is empty is an
// error, never an open door.
func ReadToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", result.Errorf(result.UsageError, "token file: %v", err)
	}
	token := strings.TrimSpace(string(raw))
	if token == "" {
		return "", result.Errorf(result.UsageError, "token file %s is empty: want one line with the token", path)
	}
	return token, nil
}

// ListenerToken reads the token of an operator listener. A listener that
// others than this instance can reach must have one.
func ListenerToken(listen, path string) (string, error) {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return "", result.Errorf(result.UsageError, "listen.operator: want an IP number and port such as 127.0.0.1:7400, got %q", listen)
	}
	if path == "" && !addr.Addr().IsLoopback() {
		return "", result.Errorf(result.UsageError, "listen.operator %s is not a loopback address: set operator.token_file, or listen on 127.0.0.1", listen)
	}
	return ReadToken(path)
}
