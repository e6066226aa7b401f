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
	registerPause  = 500 * time.Millisecond
	transferBytes  = 512 << 10 // of one part; well under the frame limit
	transferTries  = 3         // successors that are asked
	recordOverhead = 200
)

// ErrNoSuccessor says that no process took over the keys of a stopping holder.
var ErrNoSuccessor = errors.New("ledger: no successor took the keys")

// Run registers this process as a holder, and keeps trying while the object API does not answer. Until then the process
// vouches for no keys. It returns when registered or when ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.register(ctx); err == nil {
			l.holder.Register()
			event.HolderRegistered.Log(&l.log).Send()
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(registerPause):
		}
	}
	return ctx.Err()
}

// register makes sure that no delegation of an earlier process with this id can be recorded any more. That process is
// gone, but its conditional write may still be under way; any write to the object makes it fail.
func (l *Ledger) register(ctx context.Context) error {
	_, err := l.object.update(ctx, func(e Epochs) (Epochs, bool) { return e, e.Names(l.self.ID) })
	return err
}

// Stop ends vouching for ever, passes the keys on to another entry and records the delegation. Claims and settles of
// this process's own requests must have ended. When it returns an error the keys are unknown until a new epoch.
func (l *Ledger) Stop(ctx context.Context) error {
	l.waitSettles(ctx)
	defer l.peers.close()
	x, ok := l.holder.Stop()
	if !ok || !l.epochs(l.self.Region).Names(l.self.ID) {
		return nil
	}
	to, err := l.transfer(ctx, x)
	if err != nil {
		return err
	}
	if _, err := l.object.update(ctx, func(e Epochs) (Epochs, bool) {
		return e.Delegate(x.From, x.StartedMs, to)
	}); err != nil {
		return fmt.Errorf("ledger: record delegation: %w", err)
	}
	event.KeysDelegated.Log(&l.log).Str("to", to).Int("keys", len(x.Records)).Send()
	return nil
}

func (l *Ledger) waitSettles(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		l.settles.Wait()
		close(done)
	}()
	select {
	case <-ctx.Done():
	case <-done:
	}
}

func (l *Ledger) transfer(ctx context.Context, x Export) (to string, err error) {
	others := slices.DeleteFunc(Entries(l.cat, l.self.Region, l.members()), func(id string) bool { return id == x.From })
	err = ErrNoSuccessor
	tries := 0
	for _, id := range rank(x.From, others) {
		addr, ok := l.address(id)
		if !ok {
			continue
		}
		if tries++; tries > transferTries {
			break
		}
		terr := l.send(ctx, addr, x)
		if terr == nil {
			return id, nil
		}
		err = fmt.Errorf("%w: %s: %w", ErrNoSuccessor, id, terr)
	}
	return "", err
}

// send passes an export on in parts, on one link, so that all of it reaches one process.
func (l *Ledger) send(ctx context.Context, addr string, x Export) error {
	c, err := l.peers.conn(ctx, addr)
	if err != nil {
		return err
	}
	rest := x.Records
	for part := 0; ; part++ {
		n := partLength(rest)
		t := TransferRequest{
			Region: l.self.Region, From: x.From, StartedMs: x.StartedMs, VouchFromMs: x.VouchFromMs,
			Part: part, Total: len(x.Records), Last: n == len(rest), Records: rest[:n],
		}
		ask, cancel := context.WithTimeout(ctx, l.opts.AskTimeout)
		var reply TransferReply
		err := c.Ask(ask, TopicTransfer, t, &reply)
		cancel()
		if err != nil {
			return err
		}
		if !reply.Taken {
			return fmt.Errorf("ledger: transfer refused")
		}
		if t.Last {
			return nil
		}
		rest = rest[n:]
	}
}

// partLength returns how many records fit into one part of a transfer, at least one.
func partLength(records []Record) int {
	size := 0
	for i, r := range records {
		size += recordOverhead + len(r.Workspace) + len(r.Request)
		if r.Answer != nil {
			size += len(r.Answer.Body) + len(r.Answer.ContentType)
		}
		if size > transferBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// Entries returns the ids of a region's entries that can hold keys: those of the platform's list that do not leave, with
// the better knowledge of the members of one's own data centre.
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
		var i fighollow.Instance
		if decode(o, &i) != nil || i.Kind != fighollow.InstanceEntry || i.Region != region || i.Leaving {
			continue
		}
		if _, member := state[i.ID]; !member {
			ids = append(ids, i.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
