package event_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/fighollow/fighollow/internal/event"
)

// Guards against an event that is missing from docs/events.md or described differently there. -update rewrites the file.
func TestCatalogueMatchesCode(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Log events\n\nEach log line carries `event` (the number) and `name`. Numbers are never reused.\n\n")
	b.WriteString("| number | name | level | meaning |\n|---|---|---|---|\n")
	for _, e := range event.All() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning)
	}
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "events", []byte(b.String()))
}

// Guards against two events with the same number, which would make log lines ambiguous, and against an event that is
// listed out of order.
func TestNumbersAreUniqueAndOrdered(t *testing.T) {
	last := 0
	for _, e := range event.All() {
		qt.Assert(t, e.Number > last, qt.IsTrue, qt.Commentf("%d %s after %d", e.Number, e.Name, last))
		last = e.Number
	}
}
