// Package trail finds the path of one request in the logs of daemons: what the
// first daemon decided, what the daemon beside each server did, and what the
// answer means.
package trail

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// lineMax bounds one line of a log, in bytes.
const lineMax = 1 << 20

// Line is one log line about a request.
type Line struct {
	// Source is the file and what stands before the line's object, such as the
	// name that a collector of logs puts there.
	Source string
	// Time is the wall clock of the daemon that wrote the line.
	Time time.Time
	// Node is that daemon, Message what it tells.
	Node, Message string
	// Fields are the line's other values, by key.
	Fields map[string]any
}

// The keys that each line has.
const (
	keyTime    = "ts"
	keyLevel   = "level"
	keyLogger  = "logger"
	keyMessage = "msg"
	keyNode    = "node"
	keyID      = "id"
)

// Read returns the lines about the request id in a log. Lines that are no JSON
// object after what a collector put before them are passed over.
func Read(r io.Reader, source, id string) ([]Line, error) {
	var found []Line
	needle := []byte(id)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineMax)
	for scanner.Scan() {
		raw := scanner.Bytes()
		if !bytes.Contains(raw, needle) {
			continue
		}
		if line, ok := parse(raw, source, id); ok {
			found = append(found, line)
		}
	}
	return found, errors.Wrap(scanner.Err(), source)
}

func parse(raw []byte, source, id string) (Line, bool) {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(raw[begin:], &fields) != nil || fields[keyID] != id {
		return Line{}, false
	}
	line := Line{Source: source, Fields: fields}
	if prefix := bytes.Join(bytes.Fields(raw[:begin]), []byte(" ")); len(prefix) > 0 {
		line.Source += ": " + string(prefix)
	}
	line.Node, line.Message = text(fields, keyNode), text(fields, keyMessage)
	// A line without a readable time sorts first.
	line.Time, _ = time.Parse(time.RFC3339Nano, text(fields, keyTime))
	for _, key := range []string{keyTime, keyLevel, keyLogger, keyMessage, keyNode, keyID} {
		delete(fields, key)
	}
	return line, true
}

func text(fields map[string]any, key string) string {
	s, _ := fields[key].(string)
	return s
}

// Text returns a field that is a text, "" without one.
func (l *Line) Text(key string) string { return text(l.Fields, key) }

// Sort puts lines into their order. Clocks of instances differ: a line of the
// daemon beside a server may come before that of the daemon that sent the request.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Source, b.Source))
	})
}
