package roster

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fighollow/fighollow/internal/rendezvous"
)

// maxObservers is the number of entries that watch what all entries report of crashes, so that a report wakes these and not all. Those
// that are killed, frozen or cut off from the store are replaced by the others.
const maxObservers = 4

// Observers returns the entries that observe the reports of all, given the data centre of each entry. They are of different data
// centres where there are enough of these, and the same at each process that knows the same entries.
func Observers(dataCentres map[string]string) []string {
	names := slices.SortedFunc(maps.Keys(dataCentres), func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Key(a), rendezvous.Key(b)), cmp.Compare(a, b))
	})
	rank := make(map[string]int) // among the entries of the same data centre
	count := make(map[string]int)
	for _, name := range names {
		rank[name] = count[dataCentres[name]]
		count[dataCentres[name]]++
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(rank[a], rank[b]) })
	return names[:min(len(names), maxObservers)]
}
