package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// maxHeld is how much of a plain answer is held back until it is whole, so that another upstream can be asked when it
// breaks off. Longer answers are passed on as they arrive.
const maxHeld = 64 << 10

// plain serves a request of a plain service.
func (x *exchange) plain(ctx context.Context) *fighollow.Refusal {
	for {
		l, err := x.send(ctx, fighollow.RequestWhole, nil)
		if err == nil {
			var done bool
			if done, err = x.passPlain(ctx, l); done {
				return nil
			}
			if x.begun {
				return fighollow.UnknownRefusal(fighollow.CodeUpstreamFailed, err.Error())
			}
		}
		if !x.again(ctx, err) {
			return x.giveUp(ctx, err)
		}
	}
}

// passPlain passes an answer on. It reports false when the answer is not used, with the reason.
func (x *exchange) passPlain(ctx context.Context, l *leg) (bool, error) {
	defer l.reply.Body.Close()
	held, err := io.ReadAll(io.LimitReader(l.reply.Body, maxHeld+1))
	if err != nil {
		return false, x.brokeOff(ctx, l, err)
	}
	failed := l.reply.Status >= http.StatusInternalServerError
	result := placement.Answered
	if failed {
		result = placement.Failed
	}
	l.end(result, nil)
	if failed && x.route.Repeat == fighollow.RepeatAny && x.retryFailure(l) {
		return false, fmt.Errorf("%w: status %d", fighollow.ErrUnknownOutcome, l.reply.Status)
	}
	length := l.reply.Length
	if len(held) <= maxHeld {
		length = int64(len(held))
	}
	if x.call.Method == http.MethodHead {
		length = l.reply.Length
	}
	x.left = x.begin(l.reply, length) != nil || x.out.Write(held) != nil
	if x.left || len(held) <= maxHeld {
		x.last = time.Since(x.call.Arrived)
		return true, nil
	}
	return x.passRest(l)
}

// passRest passes the rest of a long answer on as it arrives.
func (x *exchange) passRest(l *leg) (bool, error) {
	buf := make([]byte, 32<<10)
	for {
		n, err := l.reply.Body.Read(buf)
		if n > 0 && x.out.Write(buf[:n]) != nil {
			x.left = true
		}
		if x.left || err == io.EOF {
			x.last = time.Since(x.call.Arrived)
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// retryFailure reports whether an upstream's own failure is answered by asking another one. If not, the caller gets the
// failure as it is.
func (x *exchange) retryFailure(l *leg) bool {
	if x.counted >= x.route.MaxAttempts || time.Until(x.deadline) <= 0 {
		return false
	}
	x.tried = append(x.tried, l.up.ID)
	if _, ok := x.pool.Choose(time.Now(), x.query(l.phase)); !ok {
		return false
	}
	if !x.budget.allows() {
		return false // the next attempt's claim would fail
	}
	x.mayRun = true
	return true
}

// begin sends status and header of an upstream's reply.
func (x *exchange) begin(r *fighollow.Reply, length int64) error {
	x.begun, x.status = true, r.Status
	x.first = time.Since(x.call.Arrived)
	return x.out.Begin(r.Status, r.Header, length)
}
