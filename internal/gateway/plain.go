package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fighollow/fighollow/internal/heldbytes"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// maxBufferedAnswer is the size in bytes up to which a plain answer is buffered until it is complete, so that another
// upstream can be tried if it breaks off. Longer answers are relayed as they arrive.
const maxBufferedAnswer = 64 << 10

// plain serves a request for a plain service.
func (x *exchange) plain(ctx context.Context) *fighollow.Refusal {
	for {
		a, err := x.send(ctx, fighollow.RequestWhole, nil)
		if err == nil {
			var done bool
			if done, err = x.relayPlain(ctx, a); done {
				return nil
			}
			if x.headerSent {
				return fighollow.UnknownRefusal(fighollow.CodeUpstreamFailed, err.Error())
			}
		}
		if !x.shouldRetry(ctx, err) {
			return x.refusal(ctx, err)
		}
	}
}

// relayPlain relays an answer to the caller. It returns false and the reason if the answer is discarded or breaks off.
func (x *exchange) relayPlain(ctx context.Context, a *attempt) (bool, error) {
	defer a.reply.Body.Close()
	x.recordUsage(a.placed.SentAt) // its status line shows that it ran
	defer x.free()
	buffered, long, err := x.readPlain(a)
	if err != nil {
		return false, x.recordInterruption(ctx, a, err)
	}
	result := a.statusResult()
	if result == placement.Failed && x.route.Repeat == fighollow.RepeatAny && x.shouldRetryFailure(a) {
		a.end(result, nil)
		return false, fmt.Errorf("%w: status %d", fighollow.ErrUnknownOutcome, a.reply.Status)
	}
	if !long {
		x.recordAnswer(a)
		a.end(result, nil) // frees the upstream's slot before the caller has read the answer
	}
	length := a.reply.Length
	if !long && x.call.Method != http.MethodHead {
		length = int64(len(buffered))
	}
	x.callerLeft = x.sendHeader(a.reply, length) != nil || x.write(buffered) != nil
	switch {
	case long && x.callerLeft:
		a.end(placement.Abandoned, nil)
	case long:
		return x.relayRemainder(ctx, a)
	}
	x.total = time.Since(x.call.Arrived)
	return true, nil
}

// readPlain reads an answer, or the beginning of one that is too long or for which too many bytes are held to buffer all of it.
func (x *exchange) readPlain(a *attempt) (buffered []byte, long bool, err error) {
	most := maxBufferedAnswer + 1
	if length := a.reply.Length; length >= 0 && length < maxBufferedAnswer {
		most = int(length) + 1 // room to read the end
	}
	for {
		if len(buffered) == cap(buffered) {
			size := heldbytes.NextSize(cap(buffered), most)
			long = len(buffered) > maxBufferedAnswer || errors.Is(x.held.Hold(time.Now(), size), heldbytes.ErrFull)
			if long {
				return buffered, true, nil
			}
			buffered = append(make([]byte, 0, size), buffered...)
		}
		n, err := a.body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffered, false, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// relayRemainder relays the remainder of a long answer as it arrives. The header has been sent, so an answer that breaks off
// can only be aborted.
func (x *exchange) relayRemainder(ctx context.Context, a *attempt) (bool, error) {
	buf := make([]byte, heldbytes.UncountedAnswer)
	x.free() // buf does not count
	for {
		n, err := a.body.Read(buf)
		if n > 0 && x.write(buf[:n]) != nil {
			x.callerLeft = true
		}
		switch {
		case x.callerLeft:
			a.end(placement.Abandoned, err)
			return true, nil
		case errors.Is(err, io.EOF):
			x.recordAnswer(a)
			a.end(a.statusResult(), nil)
			x.total = time.Since(x.call.Arrived)
			return true, nil
		case err != nil:
			x.retriesEnded = true
			return false, x.recordInterruption(ctx, a, err)
		}
	}
}

// statusResult returns the result of an attempt whose whole answer has arrived.
func (a *attempt) statusResult() placement.Result {
	if a.reply.Status >= http.StatusInternalServerError {
		return placement.Failed
	}
	return placement.Answered
}

// shouldRetryFailure reports whether to try another upstream after a failure status. If not, the caller gets the failure
// unchanged.
func (x *exchange) shouldRetryFailure(a *attempt) bool {
	if x.arrivals.counted >= x.route.MaxAttempts || time.Until(x.deadline) <= 0 {
		return false
	}
	x.tried = append(x.tried, a.upstream.ID)
	if _, ok := x.pool.Choose(time.Now(), x.query(a.phase)); !ok {
		return false
	}
	if !x.budget.canWithdraw(time.Now()) {
		return false // the next attempt would be refused
	}
	x.mayHaveRun = true
	return true
}

// sendHeader sends the status and the header of an upstream's reply. length is the length of the body, or -1 if it is not
// known.
func (x *exchange) sendHeader(r *fighollow.Reply, length int64) error {
	x.headerSent, x.status = true, r.Status
	now := time.Now()
	x.firstByte = now.Sub(x.call.Arrived)
	x.out.SetWriteDeadline(later(x.deadline, now).Add(unreadTime))
	return x.out.Begin(r.Status, r.Header, length)
}
