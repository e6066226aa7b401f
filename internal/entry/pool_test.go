package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/link"
)

// Guards against a link that is closed as idle while an attempt uses it: the attempt must be counted in the same step in which
// its link is looked up.
func TestAcquiredLinkIsNotIdle(t *testing.T) {
	const addr = "192.0.2.1:1"
	p := newPool(link.Hello{}, link.NoHandler{}, link.Options{})
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
				p.removeIdle(time.Now().Add(2 * maxLinkIdle))
			}
		}
	}()
	uncounted := 0
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		p.acquire(addr)
		p.mu.Lock()
		if pl := p.links[addr]; pl == nil || pl.users == 0 {
			uncounted++
		}
		p.mu.Unlock()
		p.release(addr)
	}
	close(stop)
	<-done
	qt.Assert(t, uncounted, qt.Equals, 0)
}
