package strictyaml

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"
)

// maxNameLength is the maximum length of a name in bytes.
const maxNameLength = 63

// nameFormat matches valid names. Names are used in metrics, headers and file names,
// where these characters need no escaping.
var nameFormat = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

// Required adds a fault if value is empty, and reports whether it is not.
func (d *Document) Required(key, value string) bool {
	if value == "" {
		d.Add(key, "is required")
	}
	return value != ""
}

// Name adds a fault if value is not a valid name, and reports whether it is.
func (d *Document) Name(key, value string) bool {
	if !d.Required(key, value) {
		return false
	}
	if len(value) > maxNameLength {
		d.Add(key, "has %d bytes, want at most %d", len(value), maxNameLength)
		return false
	}
	if !nameFormat.MatchString(value) {
		d.Add(key, "want letters, digits, \".\", \"_\" and \"-\", with a letter or digit at both ends, got %q", value)
		return false
	}
	return true
}

// AddrPort parses a required "ip:port". If that fails, it adds a fault and returns an
// invalid AddrPort.
func (d *Document) AddrPort(key, value string) netip.AddrPort {
	if !d.Required(key, value) {
		return netip.AddrPort{}
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		d.Add(key, "want an IP number and a port such as 127.0.0.1:7000 (no host names), got %q", truncate(value))
	}
	return addr
}

// Prefix checks that value is an address prefix without host bits.
func (d *Document) Prefix(key, value string) {
	prefix, err := netip.ParsePrefix(value)
	if err == nil {
		if masked := prefix.Masked(); masked != prefix {
			d.Add(key, "has bits beyond its length; did you mean %q?", masked)
		}
		return
	}
	if addr, err := netip.ParseAddr(value); err == nil {
		d.Add(key, "want an address prefix; did you mean %q?", netip.PrefixFrom(addr, addr.BitLen()))
		return
	}
	d.Add(key, "want an address prefix such as 10.1.0.0/16, got %q", truncate(value))
}

// OneOf checks that value is one of the known values.
func (d *Document) OneOf(key, value string, known ...string) {
	if !slices.Contains(known, value) {
		d.Add(key, "%q is unknown; %s", truncate(value), Suggest(value, known))
	}
}

// Reference checks that a required value is one of the known names. kind is the kind
// of object that it refers to, for the message.
func (d *Document) Reference(key, value, kind string, known []string) {
	if d.Required(key, value) && !slices.Contains(known, value) {
		d.Add(key, "no %s %q; %s", kind, truncate(value), orDefault(Suggest(value, known), "none is defined"))
	}
}

// Range checks that value is between low and high, inclusive.
func Range[T cmp.Ordered](d *Document, key string, value, low, high T) {
	if value < low || value > high {
		d.Add(key, "want %v to %v, got %v", low, high, value)
	}
}

// Count checks that a list has at most limit entries.
func (d *Document) Count(key string, n, limit int) {
	if n > limit {
		d.Add(key, "has %d entries, want at most %d", n, limit)
	}
}

// Unique finds duplicate values. The zero value is ready to use.
type Unique struct{ firstKeys map[string]string }

// Check adds a fault if value was already checked at another key. Empty values are
// ignored.
func (u *Unique) Check(d *Document, key, value string) {
	if value == "" {
		return
	}
	if first, seen := u.firstKeys[value]; seen {
		d.Add(key, "%q is already used at %s%s", truncate(value), first, d.LineSuffix(first))
		return
	}
	if u.firstKeys == nil {
		u.firstKeys = map[string]string{}
	}
	u.firstKeys[value] = key
}

// LineSuffix returns " in line n" for a key of the text, to append to a message, or ""
// for any other key.
func (d *Document) LineSuffix(key string) string {
	if p, ok := d.positions[key]; ok {
		return fmt.Sprintf(" in line %d", p.line)
	}
	return ""
}

// Duration checks that value is between low and high, inclusive.
func (d *Document) Duration(key string, value, low, high time.Duration) {
	Range(d, key, value, low, high)
}
