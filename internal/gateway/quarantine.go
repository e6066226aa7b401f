package gateway

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/fighollow/fighollow/internal/answer"
	"github.com/fighollow/fighollow/internal/quarantine"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

var errQuarantined = errors.New("gateway: the request, or a part of its prompt, crashes engines")

// admit returns errQuarantined if the request or a part of its prompt is in quarantine, unless the request is the probe of it.
func (x *exchange) admit(now time.Time) error {
	if x.isProbe {
		return nil
	}
	return x.applyAdmission(x.g.opts.Quarantine.Admit(now, x.subject))
}

// applyAdmission implements admit.
func (x *exchange) applyAdmission(a quarantine.Admission) error {
	x.isProbe, x.withheldFor = a.Probe, a.RetryIn
	if a.Withheld {
		x.g.metrics.count("quarantine.withheld")
		return errQuarantined
	}
	return nil
}

// recordBreak records that the connection of an attempt broke while the upstream may have worked on it. A time-out, a reply to
// another request and an answer of another kind are none: they do not show that the upstream ended.
func (x *exchange) recordBreak(a *attempt, err error) {
	var netErr net.Error
	isOtherAnswer := errors.Is(err, answer.ErrMalformed) || errors.Is(err, errNoEvents)
	if errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, fighollow.ErrReplyMismatch) || isOtherAnswer {
		return
	}
	now := time.Now()
	sent := now.Sub(a.placed.SentAt)
	if a.streaming {
		x.g.opts.Quarantine.Interrupted(now, a.upstream.Incarnation(), x.subject, sent, sent-a.firstEvent)
		return
	}
	x.g.opts.Quarantine.Broke(now, a.upstream.Incarnation(), x.subject, sent)
}

// recordAnswer records that a stream began or that another answer is complete. A failure of an engine can come before it has begun to work on
// the prompt.
func (x *exchange) recordAnswer(a *attempt) {
	if a.answered {
		return
	}
	a.answered = true
	if a.reply.Status == http.StatusOK || x.traits.Engine == nil && a.reply.Status < http.StatusInternalServerError {
		x.g.opts.Quarantine.Answered(time.Now(), a.upstream.Incarnation(), x.subject)
	}
}

// mayCrashEngines reports whether the request must not be repeated because it, or a part of its prompt, may have crashed engines.
func (x *exchange) mayCrashEngines() bool {
	return x.isProbe || !x.g.opts.Quarantine.MayRepeat(time.Now(), x.subject)
}
