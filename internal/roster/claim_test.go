package roster

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against claims that other entries read differently, those of earlier versions too.
func TestClaimsAreReadAsWritten(t *testing.T) {
	for _, c := range []fighollow.LimitClaim{
		{}, {Told: true, PerSecond: 3.5, AgeMs: 2000, Demand: 4.3, Holds: true}, {Told: true, AgeMs: 9000}, {Demand: 0.1}, {Holds: true, Demand: 7},
	} {
		text, err := json.Marshal(claimText(c))
		qt.Assert(t, err, qt.IsNil)
		earlier, err := json.Marshal(c)
		qt.Assert(t, err, qt.IsNil)
		for _, written := range [][]byte{text, earlier} {
			var read claimText
			qt.Assert(t, json.Unmarshal(written, &read), qt.IsNil)
			qt.Assert(t, fighollow.LimitClaim(read), qt.Equals, c)
		}
	}
}

// Guards against a malformed claim that is taken for another one.
func TestMalformedClaimsAreNotRead(t *testing.T) {
	for _, text := range []string{`[]`, `[1,2,3]`, `[1,2,3,4,5]`, `[1,4,3,0]`, `[1,-1,3,0]`, `[1,1,3,-1]`, `[1,1,3,1e300]`, `["1",1,3,0]`, `[[1],1,3,0]`} {
		var c claimText
		qt.Check(t, json.Unmarshal([]byte(text), &c), qt.IsNotNil, qt.Commentf("%s", text))
	}
}

// Guards against claims so long that the polls of a large fleet exceed 4 KB/s or are too far apart for the division to follow.
func TestClaimIsShort(t *testing.T) {
	text, err := json.Marshal(claimText{Told: true, PerSecond: 3.25, AgeMs: 12000, Demand: 14.3, Holds: true})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(text) <= 20, qt.IsTrue, qt.Commentf("%s", text))
}
