package quarantine

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against a request that is not recognised when it comes again, and against one that is taken for another.
func TestFingerprints(t *testing.T) {
	call := func(id, method, host, target, body, caller string) *fighollow.Call {
		return &fighollow.Call{ID: id, Method: method, Host: host, Target: target, Body: []byte(body), Caller: caller}
	}
	first := call("a", "POST", "h", "/p?q=1", "body", "10.0.0.1:5000")
	for _, test := range []struct {
		name string
		call *fighollow.Call
		want int // hashes in common
	}{
		{"again", call("b", "POST", "h", "/p?q=1", "body", "10.0.0.1:6000"), 3},
		{"of another caller", call("b", "POST", "h", "/p?q=1", "body", "10.0.0.2:5000"), 2},
		{"with another query", call("b", "POST", "h", "/p?q=2", "body", "10.0.0.1:5000"), 1},
		{"without a query", call("b", "POST", "h", "/p", "body", "10.0.0.1:5000"), 1},
		{"with another body", call("b", "POST", "h", "/p?q=1", "Body", "10.0.0.1:5000"), 0},
		{"with another path", call("b", "POST", "h", "/q?q=1", "body", "10.0.0.1:5000"), 0},
		{"with another method", call("b", "PUT", "h", "/p?q=1", "body", "10.0.0.1:5000"), 0},
		{"at another host", call("b", "POST", "g", "/p?q=1", "body", "10.0.0.1:5000"), 0},
		{"with bytes that moved from the path to the body", call("b", "POST", "h", "/", "pbody", "10.0.0.1:5000"), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			known := make(map[uint64]bool)
			for _, f := range Fingerprints(first) {
				known[f] = true
			}
			common := 0
			for _, f := range Fingerprints(test.call) {
				if known[f] {
					common++
				}
			}
			qt.Assert(t, common, qt.Equals, test.want)
		})
	}
}
