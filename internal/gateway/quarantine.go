package gateway

import (
	"errors"
	"net"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

var errQuarantined = errors.New("gateway: a part of the prompt crashes engines")

// admit returns errQuarantined if a part of the prompt is in quarantine, unless the request is the probe of it.
func (x *exchange) admit(now time.Time) error {
	if x.isProbe || x.traits.Engine == nil {
		return nil
	}
	a := x.g.opts.Quarantine.Admit(now, x.service, x.call.Prompt)
	x.isProbe, x.withheldFor = a.Probe, a.RetryIn
	if a.Withheld {
		x.g.metrics.count("quarantine.withheld")
		return errQuarantined
	}
	return nil
}

// recordBreak records that the connection of an attempt broke while the engine may have worked on it. A time-out and a reply to
// another request are none: they do not show that the engine ended.
func (x *exchange) recordBreak(a *attempt, err error) {
	var netErr net.Error
	if x.traits.Engine == nil || errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, fighollow.ErrReplyMismatch) {
		return
	}
	x.g.opts.Quarantine.Broke(time.Now(), x.service, a.upstream.ID, x.call.Prompt)
}

// recordComplete records that an engine completed the answer.
func (x *exchange) recordComplete(a *attempt) {
	x.g.opts.Quarantine.Completed(time.Now(), x.service, a.upstream.ID, x.call.Prompt)
}

// mayCrashEngines reports whether the request must not be repeated because one of its parts may have crashed engines.
func (x *exchange) mayCrashEngines() bool {
	return x.traits.Engine != nil && (x.isProbe || !x.g.opts.Quarantine.MayRepeat(time.Now(), x.service, x.call.Prompt))
}
