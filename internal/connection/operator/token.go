package operator

import (
	"net/netip"
	"os"
	"strings"

	"github.com/daisygate/daisygate/internal/result"
)

// ReadToken reads a token file and returns its content without surrounding white space. An
// empty path means no token. A file that cannot be read or is empty is an error, so that a
// misconfiguration never disables authentication.
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

// ListenerToken reads the token of an operator listener. A token is required if the listener
// can be reached from other instances.
func ListenerToken(listen, path string) (string, error) {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return "", result.Errorf(result.UsageError, "listen.operator: want an IP address and port such as 127.0.0.1:7400, got %q", listen)
	}
	if path == "" && !addr.Addr().IsLoopback() {
		return "", result.Errorf(result.UsageError, "listen.operator %s is not a loopback address: set operator.token_file, or listen on 127.0.0.1", listen)
	}
	return ReadToken(path)
}
