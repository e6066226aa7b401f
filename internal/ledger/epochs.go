package ledger

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// MaxHolders bounds the holders of an epoch.
const MaxHolders = 64

// Epoch assigns the keys created from FromMs up to, not including, UntilMs (Unix milliseconds) to its holders.
type Epoch struct {
	FromMs  int64    `json:"fromMs"`
	UntilMs int64    `json:"untilMs"`
	Holders []string `json:"holders"` // process ids, sorted
}

// Delegation moves all keys created before UntilMs that a stopped holder held to another holder.
type Delegation struct {
	From      string `json:"from"`
	StartedMs int64  `json:"startedMs"` // start of the process that stopped; tells successive processes of one id apart
	To        string `json:"to"`
	UntilMs   int64  `json:"untilMs"` // end of the last epoch when the delegation was recorded
}

// Epochs is the value of the object ledger/{region}. Its history is linear: epochs are contiguous, a new one starts
// where the last one ends, and delegations are in the order of their recording. So all processes that know the epoch of
// a key compute the same holder, but for delegations that they do not know yet.
type Epochs struct {
	Epochs      []Epoch      `json:"epochs"`
	Delegations []Delegation `json:"delegations,omitempty"`
	WriteID     string       `json:"writeId"`
}

// Place says who vouches for a key.
type Place struct {
	Holder string
	// From and FromStartedMs name the stopped holder that delegated the key last; empty for a key that its first holder
	// still holds.
	From          string
	FromStartedMs int64
}

// Holder returns who vouches for a key; ok is false when no known epoch contains its creation time.
func (e Epochs) Holder(workspace string, key Key) (p Place, ok bool) {
	i := sort.Search(len(e.Epochs), func(i int) bool { return e.Epochs[i].UntilMs > key.CreatedMs })
	if i == len(e.Epochs) || e.Epochs[i].FromMs > key.CreatedMs || len(e.Epochs[i].Holders) == 0 {
		return Place{}, false
	}
	p.Holder = rank(workspace+"/"+key.ID.String(), e.Epochs[i].Holders)[0]
	for _, d := range e.Delegations {
		if d.From == p.Holder && key.CreatedMs < d.UntilMs {
			p = Place{Holder: d.To, From: d.From, FromStartedMs: d.StartedMs}
		}
	}
	return p, true
}

// Names reports whether a process id occurs as a holder or in a delegation.
func (e Epochs) Names(id string) bool {
	for _, ep := range e.Epochs {
		if slices.Contains(ep.Holders, id) {
			return true
		}
	}
	return slices.ContainsFunc(e.Delegations, func(d Delegation) bool { return d.From == id || d.To == id })
}

// UntilMs returns the end of the last epoch, 0 when there is none.
func (e Epochs) UntilMs() int64 {
	if len(e.Epochs) == 0 {
		return 0
	}
	return e.Epochs[len(e.Epochs)-1].UntilMs
}

// Delegate adds a delegation that covers all epochs so far. changed is false when it is recorded already.
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
	// stepsPerHorizon sets how often the last epoch is moved forward: five times in a horizon.
	stepsPerHorizon = 5
	// The first epoch is short because its maintainer may be the only entry that has started so far.
	firstEpochMs   = 20_000
	firstMarginMs  = 5_000
	pruneReserveMs = 60_000
)

// Maintain returns the epochs that should follow e at a time, with entries as the region's live entries. It moves the
// end of the last epoch forward, or appends an epoch where the last one ends when the holders change, and drops what
// lies more than lifetimeMs back. changed is false when e needs no write.
func (e Epochs) Maintain(region string, entries []string, nowMs, horizonMs, lifetimeMs int64) (next Epochs, changed bool) {
	if len(entries) == 0 {
		return e, false
	}
	holders := choose(region, entries)
	if len(e.Epochs) == 0 {
		next = e.clone()
		next.Epochs = []Epoch{{FromMs: nowMs, UntilMs: nowMs + min(horizonMs, firstEpochMs), Holders: holders}}
		return next, true
	}
	last := e.Epochs[len(e.Epochs)-1]
	if last.UntilMs-nowMs > e.marginMs(horizonMs) {
		return e, false
	}
	next = e.clone()
	if slices.Equal(last.Holders, holders) {
		next.Epochs[len(next.Epochs)-1].UntilMs = nowMs + horizonMs
	} else {
		next.Epochs = append(next.Epochs, Epoch{FromMs: last.UntilMs, UntilMs: nowMs + horizonMs, Holders: holders})
	}
	next.prune(nowMs - lifetimeMs - pruneReserveMs)
	return next, true
}

// marginMs returns how much time the last epoch may have left before it is moved forward.
func (e Epochs) marginMs(horizonMs int64) int64 {
	if len(e.Epochs) == 1 && e.Epochs[0].UntilMs-e.Epochs[0].FromMs <= firstEpochMs {
		return min(firstMarginMs, horizonMs/2)
	}
	return horizonMs - horizonMs/stepsPerHorizon
}

// prune drops what concerns only keys created before a time. Those keys then have no known epoch, so that a process
// whose clock or time argument is late cannot miss a dropped delegation.
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

// choose returns the holders of an epoch, sorted.
func choose(region string, entries []string) []string {
	unique := slices.Compact(slices.Sorted(slices.Values(entries)))
	holders := rank(region, unique)
	holders = holders[:min(len(holders), MaxHolders)]
	sort.Strings(holders)
	return holders
}

// rank returns ids in the order of rendezvous hashing for a name.
func rank(name string, ids []string) []string {
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
