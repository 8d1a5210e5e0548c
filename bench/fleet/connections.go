package fleet

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// established is the state code of an established connection in /proc/net/tcp.
const established = "01"

// Connections counts the established connections accepted at each of the given addresses (IPv4,
// "ip:port") of this machine.
func Connections(addrs []string) ([]int, error) {
	wanted := make([]string, len(addrs))
	for i, addr := range addrs {
		var err error
		if wanted[i], err = procAddress(addr); err != nil {
			return nil, err
		}
	}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return nil, errors.Wrap(err, "read connections")
	}
	defer func() { _ = file.Close() }()
	counts := make([]int, len(addrs))
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 || fields[3] != established {
			continue
		}
		if i := slices.Index(wanted, fields[1]); i >= 0 {
			counts[i]++
		}
	}
	return counts, errors.Wrap(scanner.Err(), "read connections")
}

// procAddress returns an address in the notation of /proc/net/tcp.
func procAddress(addr string) (string, error) {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return "", errors.Wrap(err, "parse address")
	}
	ip := parsed.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], parsed.Port()), nil
}
