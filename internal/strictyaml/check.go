package strictyaml

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"
)

// maxNameLength is the most bytes of a name.
const maxNameLength = 63

// nameFormat is what a name may look like: names stand in metrics, headers and
// file names, where nothing else needs escaping.
var nameFormat = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

// Required reports a value that is missing or empty.
func (d *Document) Required(key, value string) bool {
	if value == "" {
		d.Add(key, "is required")
	}
	return value != ""
}

// Name checks a required name.
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

// AddrPort checks a required "ip:port". The address is invalid if there was a
// fault.
func (d *Document) AddrPort(key, value string) netip.AddrPort {
	if !d.Required(key, value) {
		return netip.AddrPort{}
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		d.Add(key, "want an IP number and a port such as 127.0.0.1:7000 (no host names), got %q", abridge(value))
	}
	return addr
}

// Prefix checks an address prefix.
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
	d.Add(key, "want an address prefix such as 10.1.0.0/16, got %q", abridge(value))
}

// OneOf checks that a value is one of those known.
func (d *Document) OneOf(key, value string, known ...string) {
	if !slices.Contains(known, value) {
		d.Add(key, "%q is unknown; %s", abridge(value), Suggest(value, known))
	}
}

// Reference checks that a required value names something that is there. What
// says what it names.
func (d *Document) Reference(key, value, what string, known []string) {
	if d.Required(key, value) && !slices.Contains(known, value) {
		d.Add(key, "no %s %q; %s", what, abridge(value), or(Suggest(value, known), "there is none"))
	}
}

// Range checks that a number is within low and high, both included.
func Range[T cmp.Ordered](d *Document, key string, value, low, high T) {
	if value < low || value > high {
		d.Add(key, "want %v to %v, got %v", low, high, value)
	}
}

// Count checks the length of a list.
func (d *Document) Count(key string, n, most int) {
	if n > most {
		d.Add(key, "has %d entries, want at most %d", n, most)
	}
}

// Unique finds values that stand twice. The zero value is ready to use.
type Unique struct{ first map[string]string }

// Check reports value, at key, if it was seen at another key. An empty value is
// not looked at.
func (u *Unique) Check(d *Document, key, value string) {
	if value == "" {
		return
	}
	if first, seen := u.first[value]; seen {
		d.Add(key, "%q is already used at %s%s", abridge(value), first, d.InLine(first))
		return
	}
	if u.first == nil {
		u.first = map[string]string{}
	}
	u.first[value] = key
}

// InLine returns " in line n" for a key of the text, to append to a message.
func (d *Document) InLine(key string) string {
	if p, ok := d.places[key]; ok {
		return fmt.Sprintf(" in line %d", p.line)
	}
	return ""
}

// Duration checks that a duration is within low and high, both included.
func (d *Document) Duration(key string, value, low, high time.Duration) {
	Range(d, key, value, low, high)
}
