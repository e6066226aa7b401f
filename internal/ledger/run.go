package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	registerRetryInterval = 500 * time.Millisecond
	maxPartBytes          = 512 << 10 // of records in one transfer request; well below the frame limit
	maxTransferTries      = 3         // successors to try
	recordOverheadBytes   = 200       // size of an encoded record without its texts and answer
)

// ErrNoSuccessor is returned by Stop when no other process accepted the keys.
var ErrNoSuccessor = errors.New("ledger: no successor accepted the keys")

// Run registers this process as a holder, and retries while the object API fails. Until then this process grants no
// keys. It returns when the process is registered or ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.register(ctx); err == nil {
			l.holder.Register()
			event.HolderRegistered.Log(&l.log).Send()
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(registerRetryInterval):
		}
	}
	return ctx.Err()
}

// register ensures that no delegation by an earlier process with this id can still be recorded. That process has ended,
// but its conditional write may still be in flight; any other write to the object makes it fail.
func (l *Ledger) register(ctx context.Context) error {
	_, err := l.store.update(ctx, func(e Epochs) (Epochs, bool) { return e, e.Contains(l.self.ID) })
	return err
}

// Stop permanently ends this process's role as a holder, transfers its keys to another entry and records the
// delegation. Claims and settles of this process's own requests must have ended. After an error, claims of its keys are
// refused as unknown until a new epoch begins.
func (l *Ledger) Stop(ctx context.Context) error {
	l.waitSettleRetries(ctx)
	defer l.peers.close()
	x, ok := l.holder.Stop()
	if !ok || !l.epochs(l.self.Region).Contains(l.self.ID) {
		return nil
	}
	to, err := l.transfer(ctx, x)
	if err != nil {
		return err
	}
	if _, err := l.store.update(ctx, func(e Epochs) (Epochs, bool) {
		return e.Delegate(x.From, x.StartedMs, to)
	}); err != nil {
		return fmt.Errorf("ledger: record delegation: %w", err)
	}
	event.KeysDelegated.Log(&l.log).Str("to", to).Int("keys", len(x.Records)).Send()
	return nil
}

func (l *Ledger) waitSettleRetries(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		l.settleRetries.Wait()
		close(done)
	}()
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// transfer sends an export to the first successor that accepts it, and returns the successor's id.
func (l *Ledger) transfer(ctx context.Context, x Export) (to string, err error) {
	others := slices.DeleteFunc(Entries(l.cat, l.self.Region, l.members()), func(id string) bool { return id == x.From })
	err = ErrNoSuccessor
	tries := 0
	for _, id := range rendezvousOrder(x.From, others) {
		addr, ok := l.address(id)
		if !ok {
			continue
		}
		if tries++; tries > maxTransferTries {
			break
		}
		sendErr := l.send(ctx, addr, x)
		if sendErr == nil {
			return id, nil
		}
		err = fmt.Errorf("%w: %s: %w", ErrNoSuccessor, id, sendErr)
	}
	return "", err
}

// send sends an export in parts over one link, so that all parts reach the same process.
func (l *Ledger) send(ctx context.Context, addr string, x Export) error {
	c, err := l.peers.conn(ctx, addr)
	if err != nil {
		return err
	}
	remaining := x.Records
	for part := 0; ; part++ {
		n := partLength(remaining)
		t := TransferRequest{
			Region: l.self.Region, From: x.From, StartedMs: x.StartedMs, CompleteFromMs: x.CompleteFromMs,
			Part: part, Total: len(x.Records), Last: n == len(remaining), Records: remaining[:n],
		}
		askCtx, cancel := context.WithTimeout(ctx, l.opts.AskTimeout)
		var reply TransferReply
		err := c.Ask(askCtx, TopicTransfer, t, &reply)
		cancel()
		if err != nil {
			return err
		}
		if !reply.Accepted {
			return fmt.Errorf("ledger: transfer refused")
		}
		if t.Last {
			return nil
		}
		remaining = remaining[n:]
	}
}

// partLength returns how many records fit into one part of a transfer. It is at least one unless records is empty.
func partLength(records []Record) int {
	size := 0
	for i, r := range records {
		size += recordOverheadBytes + len(r.Workspace) + len(r.Request)
		if r.Answer != nil {
			size += len(r.Answer.Body) + len(r.Answer.ContentType)
		}
		if size > maxPartBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// Entries returns the sorted ids of a region's entries that can hold keys: the instances in the catalog that are not
// leaving. For entries of this data centre, the state in members takes precedence; only alive ones count.
func Entries(cat interface {
	List(kind fighollow.Kind) []fighollow.Object
}, region string, members []membership.Member) []string {
	state := make(map[string]membership.State)
	var ids []string
	for _, m := range members {
		if m.Kind != fighollow.InstanceEntry {
			continue
		}
		state[m.ID] = m.State
		if m.State == membership.Alive {
			ids = append(ids, m.ID)
		}
	}
	for _, o := range cat.List(fighollow.KindInstance) {
		var inst fighollow.Instance
		if decode(o, &inst) != nil || inst.Kind != fighollow.InstanceEntry || inst.Region != region || inst.Leaving {
			continue
		}
		if _, member := state[inst.ID]; !member {
			ids = append(ids, inst.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
