package domainroom

import (
	"fmt"
	"maps"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxReports and maxServices bound what is read from one text and kept of one report.
	maxReports  = 16
	maxServices = 64
	// maxTargets bounds the domains to which a room sends. Shares of minReportedShare reach 1 before.
	maxTargets = 64
	// maxCount bounds the numbers of slots and requests of a room.
	maxCount = 1e7
	// idBase is the base in which the IDs of services are written.
	idBase = 36
)

// Format returns reports as one line of text, which is the same in headers and in messages between
// domains. Reports are separated by spaces, the parts of a report by semicolons:
//
//	domain,daemon,boot,seq,age in ms;service,slots,running,waiting,time in ms,trend[,domain+domain];...
func Format(reports ...Report) string {
	var b strings.Builder
	for i := range reports {
		r := &reports[i]
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s,%s,%s,%d,%d", url.QueryEscape(r.Domain), url.QueryEscape(r.From), strconv.FormatUint(r.Boot, idBase), r.Seq, r.Age.Milliseconds())
		for _, id := range slices.Sorted(maps.Keys(r.Rooms)) {
			room := r.Rooms[id]
			fmt.Fprintf(&b, ";%s,%.0f,%.0f,%.0f,%d,%.0f", strconv.FormatUint(uint64(id), idBase), room.Slots, room.Running, room.Waiting, room.Service.Milliseconds(), room.Trend)
			for j, to := range room.To {
				separator := byte('+')
				if j == 0 {
					separator = ','
				}
				b.WriteByte(separator)
				b.WriteString(url.QueryEscape(to))
			}
		}
	}
	return b.String()
}

// Parse returns the reports of a text. It returns an error if any of them is malformed.
func Parse(text string) ([]Report, error) {
	fields := strings.Fields(text)
	if len(fields) > maxReports {
		return nil, errors.Newf("%d reports, at most %d are accepted", len(fields), maxReports)
	}
	reports := make([]Report, 0, len(fields))
	for _, field := range fields {
		r, err := parseReport(field)
		if err != nil {
			return nil, errors.Wrapf(err, "report %q", field)
		}
		reports = append(reports, r)
	}
	return reports, nil
}

func parseReport(text string) (Report, error) {
	head, rest, _ := strings.Cut(text, ";")
	parts := strings.Split(head, ",")
	if len(parts) != 5 {
		return Report{}, errors.Newf("%d fields instead of 5", len(parts))
	}
	domain, err1 := url.QueryUnescape(parts[0])
	from, err2 := url.QueryUnescape(parts[1])
	boot, err3 := strconv.ParseUint(parts[2], idBase, 64)
	seq, err4 := strconv.ParseUint(parts[3], 10, 64)
	age, err5 := strconv.ParseUint(parts[4], 10, 32)
	for _, err := range []error{err1, err2, err3, err4, err5} {
		if err != nil {
			return Report{}, errors.Wrap(err, "read the origin")
		}
	}
	if domain == "" || from == "" {
		return Report{}, errors.New("the domain or the daemon is empty")
	}
	r := Report{Domain: domain, From: from, Boot: boot, Seq: seq, Age: time.Duration(age) * time.Millisecond, Rooms: map[ServiceID]Room{}}
	if rest == "" {
		return r, nil
	}
	for part := range strings.SplitSeq(rest, ";") {
		id, room, err := parseRoom(part)
		if err != nil {
			return Report{}, errors.Wrapf(err, "room %q", part)
		}
		if len(r.Rooms) == maxServices {
			return Report{}, errors.Newf("more than %d rooms", maxServices)
		}
		r.Rooms[id] = room
	}
	return r, nil
}

func parseRoom(text string) (ServiceID, Room, error) {
	parts := strings.Split(text, ",")
	if len(parts) != 6 && len(parts) != 7 {
		return 0, Room{}, errors.Newf("%d fields instead of 6 or 7", len(parts))
	}
	id, err := strconv.ParseUint(parts[0], idBase, 32)
	if err != nil {
		return 0, Room{}, errors.Wrap(err, "read the service")
	}
	var n [5]float64
	for i := range n {
		if n[i], err = strconv.ParseFloat(parts[i+1], 64); err != nil {
			return 0, Room{}, errors.Wrap(err, "read a number")
		}
		negative := n[i] < 0 && i != len(n)-1
		if math.IsNaN(n[i]) || math.Abs(n[i]) > maxCount || negative {
			return 0, Room{}, errors.Newf("number %s is out of range", parts[i+1])
		}
	}
	room := Room{Slots: n[0], Running: n[1], Waiting: n[2], Service: time.Duration(n[3] * float64(time.Millisecond)), Trend: n[4]}
	if len(parts) == 7 {
		for name := range strings.SplitSeq(parts[6], "+") {
			to, err := url.QueryUnescape(name)
			if err != nil {
				return 0, Room{}, errors.Wrap(err, "read a domain")
			}
			if to == "" || len(room.To) == maxTargets {
				return 0, Room{}, errors.Newf("domain %q is empty or one of more than %d", to, maxTargets)
			}
			room.To = append(room.To, to)
		}
	}
	return ServiceID(id), room, nil
}
