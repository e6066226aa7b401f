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

// duration is the length of a history; about 30 faults are injected in it.
const duration = 2 * time.Second

// opInput is one operation on the preset in force. Values are identified by their unique write ids; "" is no object.
type opInput struct {
	read     bool
	expected string // write id of the value that a put expects and replaces
	writeID  string // write id of a put
}

// opOutput is the result returned to the caller: the value read, or the outcome of the put.
type opOutput struct {
	readID  string // write id of the value read
	outcome string // of a put: done, conflict, or open if it may or may not have taken effect
}

// inForceModel is a register with conditional updates. An update with outcome open takes effect once or never.
var inForceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, out, current := input.(opInput), output.(opOutput), state.(string)
		matches := current == in.expected
		switch {
		case in.read && current == out.readID, out.outcome == "conflict" && !matches:
			return []any{current}
		case out.outcome == "done" && matches:
			return []any{in.writeID}
		case out.outcome == "open" && matches:
			return []any{current, in.writeID}
		case out.outcome == "open":
			return []any{current}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// history collects the operations of several operators. It is safe for concurrent use.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) now() int64 { return time.Since(h.start).Nanoseconds() }

func (h *history) add(client int, call, end int64, in opInput, out opOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// replacePreset reads the preset in force and replaces it, as an operator does.
func (h *history) replacePreset(client int, store fighollow.ObjectStore, writeID string) {
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	call := h.now()
	current, err := store.Get(ctx, fighollow.KindInForce, fighollow.InForceName)
	if err != nil && !errors.Is(err, fighollow.ErrNotFound) {
		return
	}
	readID := writeIDOf(current.Value)
	h.add(client, call, h.now(), opInput{read: true}, opOutput{readID: readID})
	call = h.now()
	_, err = record.Put(ctx, store, object(writeID), current.Version)
	end, out := h.now(), opOutput{outcome: "open"}
	switch {
	case err == nil:
		out.outcome = "done"
	case errors.Is(err, fighollow.ErrConflict):
		out.outcome = "conflict"
	case errors.Is(err, fighollow.ErrUnavailable):
		return // never sent
	case errors.Is(err, record.ErrSuperseded):
	default:
		end = math.MaxInt64 // it can still arrive
	}
	h.add(client, call, end, opInput{expected: readID, writeID: writeID}, out)
}

func writeIDOf(raw []byte) string {
	_, rest, _ := strings.Cut(string(raw), `"writeId":"`)
	id, _, _ := strings.Cut(rest, `"`)
	return id
}

// injectFaults injects one random fault after the other until done is closed.
func injectFaults(s *objects.Server, seed uint64, done <-chan struct{}) {
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

// Guards against two concurrent writes of the preset in force that both report success on the same version, a write that
// takes effect twice or after its caller got a conflict, and a return to an earlier preset (I9). The seed determines
// the faults but not the scheduling.
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
				injectFaults(s, seed, done)
			}()
			h := &history{start: time.Now()}
			var wg sync.WaitGroup
			for client := range 4 {
				wg.Go(func() {
					c := objectapi.New(objectapi.Options{Address: strings.TrimPrefix(hs.URL, "http://"), Timeout: 100 * time.Millisecond})
					defer c.Close()
					for i := 0; time.Since(h.start) < duration; i++ {
						h.replacePreset(client, c, fmt.Sprintf("%d-%d", client, i))
						time.Sleep(10 * time.Millisecond) // between two commands of an operator
					}
				})
			}
			wg.Wait()
			close(done)
			<-stopped
			for _, op := range h.ops {
				qt.Check(t, appliedWrites(s, op.Input.(opInput).writeID) <= 1, qt.IsTrue)
			}
			verdict := porcupine.CheckOperationsTimeout(inForceModel.ToModel(), h.ops, 30*time.Second)
			qt.Assert(t, verdict, qt.Equals, porcupine.Ok)
			outcomes := make(map[string]int)
			for _, op := range h.ops {
				outcomes[op.Output.(opOutput).outcome]++
			}
			t.Logf("operations by outcome (reads have none): %v", outcomes)
		})
	}
}
