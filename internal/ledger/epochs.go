package ledger

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// MaxHolders is the largest number of holders of an epoch.
const MaxHolders = 64

// Epoch assigns the keys created from FromMs up to, not including, UntilMs (Unix milliseconds) to its holders.
type Epoch struct {
	FromMs  int64    `json:"fromMs"`
	UntilMs int64    `json:"untilMs"`
	Holders []string `json:"holders"` // process ids, sorted
}

// Delegation moves all keys of a stopped holder that were created before UntilMs to another holder.
type Delegation struct {
	From      string `json:"from"`
	StartedMs int64  `json:"startedMs"` // start time of the stopped process; distinguishes successive processes with one id
	To        string `json:"to"`
	UntilMs   int64  `json:"untilMs"` // end of the last epoch at the time of the delegation
}

// Epochs is the value of the object ledger/{region}. Its history is linear: epochs are contiguous, a new one starts
// where the last one ends, and delegations are in the order in which they were recorded. All processes that have the
// epoch of a key therefore compute the same holder, except for delegations that they have not received yet.
type Epochs struct {
	Epochs      []Epoch      `json:"epochs"`
	Delegations []Delegation `json:"delegations,omitempty"`
	WriteID     string       `json:"writeId"`
}

// Assignment is the holder of a key.
type Assignment struct {
	Holder string
	// From and FromStartedMs identify the stopped holder that last delegated the key; they are empty when the key is still
	// at its first holder.
	From          string
	FromStartedMs int64
}

// Lookup returns the holder of a key. ok is false when no epoch in e contains its creation time.
func (e Epochs) Lookup(workspace string, key Key) (a Assignment, ok bool) {
	i := sort.Search(len(e.Epochs), func(i int) bool { return e.Epochs[i].UntilMs > key.CreatedMs })
	if i == len(e.Epochs) || e.Epochs[i].FromMs > key.CreatedMs || len(e.Epochs[i].Holders) == 0 {
		return Assignment{}, false
	}
	a.Holder = rendezvousOrder(workspace+"/"+key.ID.String(), e.Epochs[i].Holders)[0]
	for _, d := range e.Delegations {
		if d.From == a.Holder && key.CreatedMs < d.UntilMs {
			a = Assignment{Holder: d.To, From: d.From, FromStartedMs: d.StartedMs}
		}
	}
	return a, true
}

// Contains reports whether a process id is a holder of any epoch or part of a delegation.
func (e Epochs) Contains(id string) bool {
	for _, ep := range e.Epochs {
		if slices.Contains(ep.Holders, id) {
			return true
		}
	}
	return slices.ContainsFunc(e.Delegations, func(d Delegation) bool { return d.From == id || d.To == id })
}

// UntilMs returns the end of the last epoch in Unix milliseconds, or 0 when there is none.
func (e Epochs) UntilMs() int64 {
	if len(e.Epochs) == 0 {
		return 0
	}
	return e.Epochs[len(e.Epochs)-1].UntilMs
}

// Delegate adds a delegation that covers all epochs so far. changed is false when it has already been recorded.
func (e Epochs) Delegate(from string, startedMs int64, to string) (next Epochs, changed bool) {
	for _, d := range e.Delegations {
		if d.From == from && d.StartedMs == startedMs {
			return e, false
		}
	}
	next = e.clone()
	next.Delegations = append(next.Delegations, Delegation{From: from, StartedMs: startedMs, To: to, UntilMs: e.UntilMs()})
	return next, true
}

const (
	// renewalsPerHorizon is how often the end of the last epoch is moved forward within a horizon.
	renewalsPerHorizon = 5
	// The first epoch is short because the maintainer that writes it may be the only entry that has started so far.
	firstEpochMs       = 20_000
	firstRenewMarginMs = 5_000
	pruneMarginMs      = 60_000
)

// Maintain returns the epochs that should replace e at nowMs, given the region's live entries. It moves the end of the
// last epoch forward or, when the holders change, appends an epoch that starts where the last one ends. It drops epochs
// and delegations that only concern keys older than lifetimeMs and a margin. changed is false when e needs no write.
func (e Epochs) Maintain(region string, entries []string, nowMs, horizonMs, lifetimeMs int64) (next Epochs, changed bool) {
	if len(entries) == 0 {
		return e, false
	}
	holders := chooseHolders(region, entries)
	if len(e.Epochs) == 0 {
		next = e.clone()
		next.Epochs = []Epoch{{FromMs: nowMs, UntilMs: nowMs + min(horizonMs, firstEpochMs), Holders: holders}}
		return next, true
	}
	last := e.Epochs[len(e.Epochs)-1]
	if last.UntilMs-nowMs > e.renewMarginMs(horizonMs) {
		return e, false
	}
	next = e.clone()
	if slices.Equal(last.Holders, holders) {
		next.Epochs[len(next.Epochs)-1].UntilMs = nowMs + horizonMs
	} else {
		next.Epochs = append(next.Epochs, Epoch{FromMs: last.UntilMs, UntilMs: nowMs + horizonMs, Holders: holders})
	}
	next.prune(nowMs - lifetimeMs - pruneMarginMs)
	return next, true
}

// renewMarginMs returns the remaining time of the last epoch at which its end is moved forward.
func (e Epochs) renewMarginMs(horizonMs int64) int64 {
	if len(e.Epochs) == 1 && e.Epochs[0].UntilMs-e.Epochs[0].FromMs <= firstEpochMs {
		return min(firstRenewMarginMs, horizonMs/2)
	}
	return horizonMs - horizonMs/renewalsPerHorizon
}

// prune drops epochs and delegations that only concern keys created before beforeMs. Those keys then have no epoch, so
// that a process whose clock or time argument is behind cannot assign one of them without a dropped delegation.
func (e *Epochs) prune(beforeMs int64) {
	for len(e.Epochs) > 1 && e.Epochs[0].UntilMs <= beforeMs {
		e.Epochs = e.Epochs[1:]
	}
	e.Epochs[0].FromMs = max(e.Epochs[0].FromMs, min(beforeMs, e.Epochs[0].UntilMs))
	e.Delegations = slices.DeleteFunc(e.Delegations, func(d Delegation) bool { return d.UntilMs <= e.Epochs[0].FromMs })
}

func (e Epochs) clone() Epochs {
	e.Epochs = slices.Clone(e.Epochs)
	e.Delegations = slices.Clone(e.Delegations)
	return e
}

// chooseHolders returns the holders of an epoch, sorted.
func chooseHolders(region string, entries []string) []string {
	unique := slices.Compact(slices.Sorted(slices.Values(entries)))
	holders := rendezvousOrder(region, unique)
	holders = holders[:min(len(holders), MaxHolders)]
	sort.Strings(holders)
	return holders
}

// rendezvousOrder returns ids by descending rendezvous hash for a name.
func rendezvousOrder(name string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	all := make([]scored, 0, len(ids))
	for _, id := range ids {
		all = append(all, scored{id, xxhash.Sum64String(name + "\x00" + id)})
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].score > all[j].score || (all[i].score == all[j].score && all[i].id < all[j].id)
	})
	out := make([]string, 0, len(ids))
	for _, s := range all {
		out = append(out, s.id)
	}
	return out
}
