package logging

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// TimeFormat is the format of the time in log lines.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// maxLineBytes is the longest log line that Explain accepts.
const maxLineBytes = 1 << 20

// line is a parsed log line.
type line struct {
	time   string
	fields map[string]any
}

// omittedFields lists the fields that details omits, because Explain prints them at the beginning of a line or not at all.
var omittedFields = []string{"time", "process", "event", "name", "level", "request"}

// Explain reads the logs of all processes and writes the lines of one request, ordered by time. It returns the number of
// these lines. It skips the text before the first brace of a line, and lines that are not JSON.
func Explain(w io.Writer, logs io.Reader, request string) (int, error) {
	request = Short(request)
	var lines []line
	s := bufio.NewScanner(logs)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 || !bytes.Contains(s.Bytes(), []byte(request)) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(s.Bytes()[start:], &fields) != nil || fields["request"] != request {
			continue
		}
		lines = append(lines, line{time: fmt.Sprint(fields["time"]), fields: fields})
	}
	if err := s.Err(); err != nil {
		return 0, fmt.Errorf("logging: %w", err)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return strings.Compare(a.time, b.time) })
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s %-16s %-16s%s\n", l.time, l.fields["process"], l.fields["name"], l.details()); err != nil {
			return 0, err
		}
	}
	return len(lines), nil
}

// details returns the fields that are not in omittedFields, sorted by name.
func (l line) details() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(omittedFields, name) {
			fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
		}
	}
	return b.String()
}
