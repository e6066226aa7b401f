package record_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/objectapi"
	"github.com/fighollow/fighollow/internal/record"
	"github.com/fighollow/fighollow/internal/standin/objects"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// duration of a history; it holds about 30 faults.
const duration = 2 * time.Second

// step is one operation on the preset in force. Values are named by their unique write ids; "" is no object.
type step struct {
	read     bool
	expected string // write id of the value that a put replaces
	id       string // write id of a put
}

// result is what the caller was told: the value read, or how the put ended.
type result struct {
	seen    string
	outcome string // done, conflict or open: it may or may not have taken effect
}

// inForceModel is a register with conditional updates, of which an open one takes effect once or never.
var inForceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, out, present := input.(step), output.(result), state.(string)
		fits := present == in.expected
		switch {
		case in.read && present == out.seen, out.outcome == "conflict" && !fits:
			return []any{present}
		case out.outcome == "done" && fits:
			return []any{in.id}
		case out.outcome == "open" && fits:
			return []any{present, in.id}
		case out.outcome == "open":
			return []any{present}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// history collects operations of several operators.
type history struct {
	mu    sync.Mutex
	begin time.Time
	ops   []porcupine.Operation
}

func (h *history) now() int64 { return time.Since(h.begin).Nanoseconds() }

func (h *history) add(client int, call, end int64, in step, out result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// use reads the preset in force and replaces it, as an operator does.
func (h *history) use(client int, store fighollow.ObjectStore, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	call := h.now()
	present, err := store.Get(ctx, fighollow.KindInForce, fighollow.InForceName)
	if err != nil && !errors.Is(err, fighollow.ErrNotFound) {
		return
	}
	seen := idOf(present.Value)
	h.add(client, call, h.now(), step{read: true}, result{seen: seen})
	call = h.now()
	_, err = record.Put(ctx, store, value(id), present.Version)
	end, out := h.now(), result{outcome: "open"}
	switch {
	case err == nil:
		out.outcome = "done"
	case errors.Is(err, fighollow.ErrConflict):
		out.outcome = "conflict"
	case errors.Is(err, fighollow.ErrUnavailable):
		return // never sent
	case errors.Is(err, record.ErrOvertaken):
	default:
		end = math.MaxInt64 // it can still arrive
	}
	h.add(client, call, end, step{expected: seen, id: id}, out)
}

func idOf(raw []byte) string {
	_, rest, _ := strings.Cut(string(raw), `"writeId":"`)
	id, _, _ := strings.Cut(rest, `"`)
	return id
}

// disturb injects one fault after the other until done is closed.
func disturb(s *objects.Server, seed uint64, done <-chan struct{}) {
	r := rand.New(rand.NewPCG(seed, 0))
	for {
		s.SetControl([]objects.Control{
			{}, {Down: true}, {LoseWrites: 1 + r.IntN(3)}, {SlowMs: int64(50 + r.IntN(150))}, {HoldWrites: 1 + r.IntN(2)},
		}[r.IntN(5)])
		select {
		case <-done:
			s.SetControl(objects.Control{})
			return
		case <-time.After(time.Duration(20+r.IntN(100)) * time.Millisecond):
		}
	}
}

// Guards against racing operators who are both told that they won, a write that takes effect twice or after its caller
// was told that it lost, and a preset that goes back (I9). The seed fixes the faults, not the scheduling.
func TestPresetUseIsLinearizableUnderFaults(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := objects.New(objects.Options{})
			hs := httptest.NewServer(s)
			defer hs.Close()
			done, stopped := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(stopped)
				disturb(s, seed, done)
			}()
			h := &history{begin: time.Now()}
			var wg sync.WaitGroup
			for client := range 4 {
				wg.Go(func() {
					c := objectapi.New(objectapi.Options{Address: strings.TrimPrefix(hs.URL, "http://"), Timeout: 100 * time.Millisecond})
					defer c.Close()
					for i := 0; time.Since(h.begin) < duration; i++ {
						h.use(client, c, fmt.Sprintf("%d-%d", client, i))
						time.Sleep(10 * time.Millisecond) // between two commands of an operator
					}
				})
			}
			wg.Wait()
			close(done)
			<-stopped
			for _, op := range h.ops {
				qt.Check(t, effects(s, op.Input.(step).id) <= 1, qt.IsTrue)
			}
			checked := porcupine.CheckOperationsTimeout(inForceModel.ToModel(), h.ops, 30*time.Second)
			qt.Assert(t, checked, qt.Equals, porcupine.Ok)
			outcomes := make(map[string]int)
			for _, op := range h.ops {
				outcomes[op.Output.(result).outcome]++
			}
			t.Logf("operations by outcome, reads without: %v", outcomes)
		})
	}
}
