package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Options configures a Ledger. The zero value of a field selects its default.
type Options struct {
	Holder     HolderOptions
	Link       link.Options
	AskTimeout time.Duration // per request to a holder; default 1 s
}

const (
	defaultAskTimeout = time.Second
	// maxSettleTries bounds the background retries of a settle that the holder has not accepted.
	maxSettleTries   = 6
	minSettleBackoff = 250 * time.Millisecond
	maxSettleBackoff = 4 * time.Second
)

// Ledger claims and settles keys at their holders, and serves requests for keys that this process holds. It implements
// fighollow.KeyLedger; its methods are safe for concurrent use.
type Ledger struct {
	opts          Options
	self          link.Hello
	cat           *catalog.Catalog
	members       func() []membership.Member
	log           zerolog.Logger
	holder        *Holder
	store         epochStore
	peers         peers
	settleRetries sync.WaitGroup // settles that are being retried in the background
}

var _ fighollow.KeyLedger = (*Ledger)(nil)

// New returns the ledger of the process self, whose Incarnation is its start time in Unix milliseconds. members returns
// the members of its data centre. The ledger grants no keys of its own until Run has registered it.
func New(opts Options, self link.Hello, store fighollow.ObjectStore, cat *catalog.Catalog,
	members func() []membership.Member, log zerolog.Logger) *Ledger {
	if opts.AskTimeout == 0 {
		opts.AskTimeout = defaultAskTimeout
	}
	opts.Holder = opts.Holder.withDefaults()
	return &Ledger{
		opts: opts, self: self, cat: cat, members: members, log: log,
		holder: NewHolder(opts.Holder, self.ID, time.UnixMilli(self.Incarnation)),
		store:  epochStore{store: store, cat: cat, region: self.Region},
		peers:  peers{self: self, opts: opts.Link, conns: make(map[string]*link.Conn)},
	}
}

// Claim implements fighollow.KeyLedger. request must be unique for each claim that can lead to a dispatch. Claim waits
// up to ClockTolerance (2 s by default) for a key from the future, and up to AskTimeout for each request to the holder.
func (l *Ledger) Claim(ctx context.Context, now time.Time, workspace fighollow.Workspace, key, request string,
) (*fighollow.StoredResponse, error) {
	c := ClaimRequest{Region: l.region(workspace), Workspace: workspace.Name, Key: key, Request: request}
	reply := l.claim(ctx, now, c)
	if reply.Refusal != nil {
		event.KeyRefused.Log(&l.log).Str("workspace", c.Workspace).Str("key", key).Str("request", request).
			Str("code", string(reply.Refusal.Code)).Str("reason", reply.Refusal.Message).Send()
		return nil, reply.Refusal
	}
	return reply.Answer, nil
}

func (l *Ledger) region(w fighollow.Workspace) string {
	if w.Region != "" {
		return w.Region
	}
	return l.self.Region
}

func (l *Ledger) claim(ctx context.Context, now time.Time, c ClaimRequest) ClaimReply {
	key, err := ParseKey(c.Key)
	if err != nil {
		return ClaimReply{Refusal: err.(*fighollow.Refusal)} //nolint:errorlint // ParseKey returns no other error
	}
	start := time.Now()
	waited := time.Duration(0)
	for {
		reply := l.claimOnce(ctx, now.Add(time.Since(start)), c, key)
		if reply.WaitMs == 0 {
			return reply
		}
		wait := time.Duration(reply.WaitMs) * time.Millisecond
		waited += wait
		if waited > l.opts.Holder.ClockTolerance {
			return refuse("the key was created in the future", 0)
		}
		select {
		case <-ctx.Done():
			return refuse("the request ended while its key lay in the future", 0)
		case <-time.After(wait):
		}
	}
}

func (l *Ledger) claimOnce(ctx context.Context, now time.Time, c ClaimRequest, key Key) ClaimReply {
	e := l.epochs(c.Region)
	assigned, ok := e.Lookup(c.Workspace, key)
	if !ok {
		return refuse("no known epoch contains the key", retryMs)
	}
	if assigned.Holder == l.self.ID {
		return l.claimLocal(now, c)
	}
	addr, ok := l.address(assigned.Holder)
	if !ok {
		return refuse("the address of the key's holder is not known", retryMs)
	}
	askCtx, cancel := context.WithTimeout(ctx, l.opts.AskTimeout)
	defer cancel()
	var reply ClaimReply
	err := l.peers.ask(askCtx, addr, TopicClaim, c, &reply)
	if err == nil && (reply.Granted || reply.Answer != nil || reply.Refusal != nil || reply.WaitMs > 0) {
		return reply
	}
	if !errors.Is(err, errNotSent) {
		// The key may have been granted. This request will never use the grant, so it releases it.
		l.retrySettle(SettleRequest{
			Region: c.Region, Workspace: c.Workspace, Key: c.Key, Request: c.Request, Outcome: fighollow.OutcomeNotRun,
		})
	}
	return refuse("the key's holder did not answer", retryMs)
}

// claimLocal decides a claim as the holder.
func (l *Ledger) claimLocal(now time.Time, c ClaimRequest) ClaimReply {
	if c.Region != l.self.Region {
		return refuse("the key belongs to another region", 0)
	}
	return l.holder.Claim(now, l.epochs(c.Region), c)
}

// Settle implements fighollow.KeyLedger. It reports to the holder once, and retries in the background when that fails.
// A settle that never arrives leaves the key in progress, so that it is not granted again.
func (l *Ledger) Settle(ctx context.Context, now time.Time, workspace fighollow.Workspace, key, request string,
	outcome fighollow.Outcome, answer *fighollow.StoredResponse) {
	s := SettleRequest{
		Region: l.region(workspace), Workspace: workspace.Name, Key: key, Request: request, Outcome: outcome, Answer: answer,
	}
	if answer != nil && len(answer.Body) > l.opts.Holder.MaxAnswerBytes {
		s.Answer = nil
	}
	if !l.settleOnce(context.WithoutCancel(ctx), now, s) {
		l.retrySettle(s)
	}
}

// settleOnce sends a settle to the holder and reports whether it needs no retry.
func (l *Ledger) settleOnce(ctx context.Context, now time.Time, s SettleRequest) bool {
	key, err := ParseKey(s.Key)
	if err != nil {
		return true
	}
	assigned, ok := l.epochs(s.Region).Lookup(s.Workspace, key)
	if !ok {
		return false
	}
	if assigned.Holder == l.self.ID && s.Region == l.self.Region {
		return l.holder.Settle(now, s)
	}
	addr, ok := l.address(assigned.Holder)
	if !ok {
		return false
	}
	askCtx, cancel := context.WithTimeout(ctx, l.opts.AskTimeout)
	defer cancel()
	var reply SettleReply
	return l.peers.ask(askCtx, addr, TopicSettle, s, &reply) == nil && reply.Accepted
}

func (l *Ledger) retrySettle(s SettleRequest) {
	l.settleRetries.Add(1)
	go func() {
		defer l.settleRetries.Done()
		backoff := minSettleBackoff
		for range maxSettleTries {
			time.Sleep(backoff)
			if l.settleOnce(context.Background(), time.Now(), s) {
				return
			}
			backoff = min(2*backoff, maxSettleBackoff)
		}
		event.SettleLost.Log(&l.log).Str("workspace", s.Workspace).Str("key", s.Key).Str("request", s.Request).
			Str("outcome", string(s.Outcome)).Send()
	}()
}

// ServeAsk serves requests whose topic starts with Topic.
func (l *Ledger) ServeAsk(_ context.Context, _ *link.Conn, topic string, body []byte) (any, error) {
	switch topic {
	case TopicClaim:
		var c ClaimRequest
		if err := msgpack.Unmarshal(body, &c); err != nil {
			return nil, fmt.Errorf("ledger: decode claim: %w", err)
		}
		return l.claimLocal(time.Now(), c), nil
	case TopicSettle:
		var s SettleRequest
		if err := msgpack.Unmarshal(body, &s); err != nil {
			return nil, fmt.Errorf("ledger: decode settle: %w", err)
		}
		return SettleReply{Accepted: s.Region == l.self.Region && l.holder.Settle(time.Now(), s)}, nil
	case TopicTransfer:
		var t TransferRequest
		if err := msgpack.Unmarshal(body, &t); err != nil {
			return nil, fmt.Errorf("ledger: decode transfer: %w", err)
		}
		return TransferReply{Accepted: t.Region == l.self.Region && l.holder.Import(t)}, nil
	}
	return nil, fmt.Errorf("ledger: unknown topic %s", topic)
}

// epochs returns the epochs of a region from the catalog; they are empty when the object is missing or malformed.
func (l *Ledger) epochs(region string) Epochs {
	var e Epochs
	if _, err := l.cat.Decode(fighollow.KindLedger, region, &e); err != nil {
		return Epochs{}
	}
	return e
}

// address returns the address at which a process accepts links.
func (l *Ledger) address(id string) (string, bool) {
	for _, m := range l.members() {
		if m.ID == id && m.Link != "" {
			return m.Link, true
		}
	}
	var inst fighollow.Instance
	if _, err := l.cat.Decode(fighollow.KindInstance, id, &inst); err != nil || inst.Link == "" {
		return "", false
	}
	return inst.Link, true
}
