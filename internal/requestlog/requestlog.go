// Package requestlog reconstructs the path of one request from the logs of daemons: what
// the daemon that accepted the request decided, what the daemon of each backend server
// did, and what the result means.
package requestlog

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

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one log line about a request.
type Line struct {
	// Source is the file, followed by any text before the JSON object of the line, such
	// as a name that a log collector adds.
	Source string
	// Time is the time of the log line, by the clock of the daemon that wrote it.
	Time time.Time
	// Node is the daemon that wrote the line, Message its log message.
	Node, Message string
	// Fields are the other fields of the line, by key.
	Fields map[string]any
}

// The keys of the fields that every line has.
const (
	keyTime    = "ts"
	keyLevel   = "level"
	keyLogger  = "logger"
	keyMessage = "msg"
	keyNode    = "node"
	keyID      = "id"
)

// Read returns the lines of a log about the request with the given ID. It ignores lines
// that do not end with a JSON object; text before the object is allowed.
func Read(r io.Reader, source, id string) ([]Line, error) {
	var lines []Line
	idBytes := []byte(id)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		raw := scanner.Bytes()
		if !bytes.Contains(raw, idBytes) {
			continue
		}
		if line, ok := parseLine(raw, source, id); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), source)
}

// parseLine parses a log line. It returns false if the line has no JSON object or is
// about another request.
func parseLine(raw []byte, source, id string) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(raw[start:], &fields) != nil || fields[keyID] != id {
		return Line{}, false
	}
	line := Line{Source: source, Fields: fields}
	if prefix := bytes.Join(bytes.Fields(raw[:start]), []byte(" ")); len(prefix) > 0 {
		line.Source += ": " + string(prefix)
	}
	line.Node, line.Message = stringField(fields, keyNode), stringField(fields, keyMessage)
	// A line without a valid time gets the zero time and is sorted first.
	line.Time, _ = time.Parse(time.RFC3339Nano, stringField(fields, keyTime))
	for _, key := range []string{keyTime, keyLevel, keyLogger, keyMessage, keyNode, keyID} {
		delete(fields, key)
	}
	return line, true
}

// stringField returns a string field, or "" if it is missing or not a string.
func stringField(fields map[string]any, key string) string {
	s, _ := fields[key].(string)
	return s
}

// Text returns a string field, or "" if it is missing or not a string.
func (l *Line) Text(key string) string { return stringField(l.Fields, key) }

// Sort sorts lines by time and source. Because clocks of instances differ, a line of
// the daemon that received a request may be sorted before that of the daemon that sent
// it.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Source, b.Source))
	})
}
