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

// maxLine bounds a log line that Explain reads.
const maxLine = 1 << 20

// line is one log line of a request.
type line struct {
	time   string
	fields map[string]any
}

// shown are the fields that Explain prints at the beginning of a line or not at all.
var shown = []string{"time", "process", "event", "name", "level", "request"}

// Explain writes what the log lines of all processes say of one request, in the order of their times, and returns how many
// lines there are. Text before the first brace of a line is skipped, and so are lines that are not JSON.
func Explain(w io.Writer, logs io.Reader, request string) (int, error) {
	var lines []line
	s := bufio.NewScanner(logs)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 || !bytes.Contains(s.Bytes(), []byte(request)) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(s.Bytes()[at:], &fields) != nil || fields["request"] != request {
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

// details returns the other fields, in the order of their names.
func (l line) details() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(shown, name) {
			fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
		}
	}
	return b.String()
}
