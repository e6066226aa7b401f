package fairshare

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against a preview that differs from the decision, while a service is scarce and while it is not, or that counts a request.
func TestPreviewIsTheDecision(t *testing.T) {
	f := newFleet(3, 1, 4)
	p := f.entries[0].policy
	qt.Assert(t, p.Preview(f.now, fighollow.ShareRequest{Service: "hule", Workspace: f.workspaces[0]}).Scarce, qt.IsFalse)
	qt.Assert(t, *p.services.Load(), qt.HasLen, 0)
	refused := 0
	for _, offered := range []float64{100, 5000} {
		f.play(10*time.Second, []float64{offered, 400, 10, 10}, func(int) int { return f.random.IntN(3) }, true)
		for i := range 1000 {
			r := fighollow.ShareRequest{
				Service: "hule", Workspace: f.workspaces[f.random.IntN(4)], ID: fmt.Sprint("preview-", i), Rank: f.random.IntN(2),
				Work: time.Duration(f.random.IntN(300)) * time.Millisecond, Refused: f.random.IntN(5) == 0,
			}
			preview := p.Preview(f.now, r)
			qt.Assert(t, p.Preview(f.now, r), qt.Equals, preview)
			qt.Assert(t, preview.Scarce, qt.Equals, offered > 1000)
			qt.Assert(t, p.Decide(f.now, r), qt.Equals, preview.ShareDecision)
			if !preview.Admitted {
				refused++
				qt.Assert(t, preview.Fraction < 1, qt.IsTrue)
			}
		}
	}
	qt.Assert(t, refused > 100, qt.IsTrue, qt.Commentf("%d", refused))
}
