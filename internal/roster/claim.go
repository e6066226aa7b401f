package roster

import (
	"encoding/json"
	"errors"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// errClaimInvalid is returned for a claim in a registration that is not made up as claimText writes it.
var errClaimInvalid = errors.New("roster: invalid claim")

// claimText is a claim as registrations hold it: an array of the demand, the flags, the limit and the age in seconds. Each entry reads
// the claims of all entries, and with the fields' names they are three times as long.
type claimText fighollow.LimitClaim

// Flags of a claimText.
const (
	claimTold = 1 << iota
	claimHolds
)

// MarshalJSON implements json.Marshaler.
func (c claimText) MarshalJSON() ([]byte, error) {
	flags := 0
	if c.Told {
		flags |= claimTold
	}
	if c.Holds {
		flags |= claimHolds
	}
	return json.Marshal([...]float64{c.Demand, float64(flags), c.PerSecond, float64(c.AgeMs / 1000)})
}

// UnmarshalJSON implements json.Unmarshaler. It also reads the objects that earlier versions write.
func (c *claimText) UnmarshalJSON(text []byte) error {
	if len(text) == 0 || text[0] != '[' {
		return json.Unmarshal(text, (*fighollow.LimitClaim)(c))
	}
	var v []float64
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	const maxAge = 1e9 // seconds, so that the conversion does not overflow
	if len(v) != 4 || v[1] < 0 || v[1] > claimTold|claimHolds || v[3] < 0 || v[3] > maxAge {
		return errClaimInvalid
	}
	flags := int(v[1])
	*c = claimText{Demand: v[0], Told: flags&claimTold != 0, Holds: flags&claimHolds != 0, PerSecond: v[2], AgeMs: int64(v[3]) * 1000}
	return nil
}

// claimTexts returns claims as a registration holds them.
func claimTexts(claims map[string]fighollow.LimitClaim) map[string]claimText {
	texts := make(map[string]claimText, len(claims))
	for upstream, c := range claims {
		texts[upstream] = claimText(c)
	}
	return texts
}

// limitClaims returns the claims of a registration.
func limitClaims(texts map[string]claimText) map[string]fighollow.LimitClaim {
	claims := make(map[string]fighollow.LimitClaim, len(texts))
	for upstream, c := range texts {
		claims[upstream] = fighollow.LimitClaim(c)
	}
	return claims
}
