package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// BenchmarkRequestOfManyParts measures what a request costs whose answer begins: its admission, with and without a part in quarantine, and the record
// of the answer.
func BenchmarkRequestOfManyParts(b *testing.B) {
	for _, parts := range []int{3, 20, 600, 4000} {
		for _, quarantined := range []bool{false, true} {
			b.Run(fmt.Sprintf("parts=%d/quarantine=%t", parts, quarantined), func(b *testing.B) {
				t, now := New("e", 48), time.Unix(1000, 0)
				if quarantined {
					t.begin(now, Key{Service: "s", ID: 1 << 40}, now, minCrashes)
				}
				prompt := make([]fighollow.PromptPart, parts)
				for i := range prompt {
					prompt[i] = fighollow.PromptPart{ID: uint64(i + 1), Tokens: 64}
				}
				for b.Loop() {
					now = now.Add(10 * time.Millisecond)
					prompt[parts-1].ID++
					r := NewPrompt("s", prompt)
					t.Admit(now, r)
					t.Answered(now, "engine", r)
				}
			})
		}
	}
}
