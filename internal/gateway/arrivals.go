package gateway

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// arrivals counts the attempts of one request that upstreams may have received. The retry budget pays for those beyond the
// first, rejected ones included. The first prefill that an engine accepts is free and the run after it is the first attempt;
// each further prefill is an extra arrival, also when no run has reached an engine yet.
type arrivals struct {
	budget  *retryBudget
	counted int // attempts that count against the route's limit

	sent             int  // attempts that may have arrived, free ones included
	runFree          bool // the next run is the first one, after a free prefill
	prefillUncounted bool // one prefill was excluded from counted
	prefillUnknown   bool // that prefill was lost, and none was accepted since
}

// charge is what one attempt was charged.
type charge struct {
	paid    bool       // by the retry budget
	from    withdrawal // if paid
	runFree bool       // it used the free run
}

// add counts an attempt before it is sent. It returns errAttemptsExhausted or errBudgetExhausted if the attempt must not be
// sent.
func (a *arrivals) add(now time.Time, phase fighollow.RequestPhase, maxAttempts int) (charge, error) {
	if a.counted > 0 && a.counted >= maxAttempts {
		return charge{}, errAttemptsExhausted
	}
	c := charge{runFree: a.runFree && phase != fighollow.RequestPrefill}
	if a.sent > 0 && !c.runFree {
		if c.from, c.paid = a.budget.withdraw(now); !c.paid {
			return charge{}, errBudgetExhausted
		}
	}
	if c.runFree {
		a.runFree = false
	}
	a.sent++
	a.counted++
	return c, nil
}

// undo reverts add for an attempt that did not reach its upstream.
func (a *arrivals) undo(c charge) {
	a.sent--
	a.counted--
	a.runFree = a.runFree || c.runFree
	if c.paid {
		a.budget.refund(c.from)
	}
}

// prefillAccepted records that an engine accepted a prefill.
func (a *arrivals) prefillAccepted(c charge) {
	switch {
	case a.prefillUnknown:
		// Either the lost prefill or this one is free, and the charge of this one pays for the other.
		a.prefillUnknown, a.runFree = false, true
	case a.prefillUncounted:
	case c.paid:
		a.prefillUncounted = true
		a.counted--
		a.budget.refund(c.from)
	default:
		a.prefillUncounted, a.runFree = true, true
		a.counted--
	}
}

// prefillLost records that an engine may have accepted a prefill whose answer was lost.
func (a *arrivals) prefillLost() {
	if !a.prefillUncounted {
		a.prefillUncounted, a.prefillUnknown = true, true
		a.counted--
	}
}

// allowPrefill reports whether the route allows a prefill and the decode that follows it.
func (a *arrivals) allowPrefill(maxAttempts int) bool {
	calls := 1
	if a.prefillUncounted {
		calls = 2
	}
	return a.counted+calls <= maxAttempts || a.sent == 0
}

// isExhausted reports whether add refuses another attempt of whatever kind.
func (a *arrivals) isExhausted(now time.Time, maxAttempts int) bool {
	return a.counted > 0 && a.counted >= maxAttempts || a.sent > 0 && !a.runFree && !a.budget.canWithdraw(now)
}
