package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

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
	buffered, err := io.ReadAll(io.LimitReader(a.body, maxBufferedAnswer+1))
	if err != nil {
		return false, x.recordInterruption(ctx, a, err)
	}
	failed := a.reply.Status >= http.StatusInternalServerError
	result := placement.Answered
	if failed {
		result = placement.Failed
	}
	a.end(result, nil)
	if failed && x.route.Repeat == fighollow.RepeatAny && x.shouldRetryFailure(a) {
		return false, fmt.Errorf("%w: status %d", fighollow.ErrUnknownOutcome, a.reply.Status)
	}
	length := a.reply.Length
	if len(buffered) <= maxBufferedAnswer {
		length = int64(len(buffered))
	}
	if x.call.Method == http.MethodHead {
		length = a.reply.Length
	}
	x.callerLeft = x.sendHeader(a.reply, length) != nil || x.out.Write(buffered) != nil
	if x.callerLeft || len(buffered) <= maxBufferedAnswer {
		x.total = time.Since(x.call.Arrived)
		return true, nil
	}
	return x.relayRemainder(a)
}

// relayRemainder relays the remainder of a long answer as it arrives.
func (x *exchange) relayRemainder(a *attempt) (bool, error) {
	buf := make([]byte, 32<<10)
	for {
		n, err := a.body.Read(buf)
		if n > 0 && x.out.Write(buf[:n]) != nil {
			x.callerLeft = true
		}
		if x.callerLeft || errors.Is(err, io.EOF) {
			x.total = time.Since(x.call.Arrived)
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
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
	if !x.budget.canWithdraw() {
		return false // the next attempt would be refused
	}
	x.mayHaveRun = true
	return true
}

// sendHeader sends the status and the header of an upstream's reply. length is the length of the body, or -1 if it is not
// known.
func (x *exchange) sendHeader(r *fighollow.Reply, length int64) error {
	x.headerSent, x.status = true, r.Status
	x.firstByte = time.Since(x.call.Arrived)
	return x.out.Begin(r.Status, r.Header, length)
}
