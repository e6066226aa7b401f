package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	protocol "github.com/fighollow/fighollow/internal/engine"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req fighollow.GenerateRequest
	if !readJSON(w, r, &req) {
		return
	}
	ctx, cancel := e.streamContext(r.Context())
	defer cancel()
	if !e.wait(ctx, StepBeforeAccept) {
		panic(http.ErrAbortHandler)
	}
	a, fault := e.accept(req)
	if fault != nil {
		writeFault(w, http.StatusConflict, *fault)
		return
	}
	if req.KV != nil {
		e.importKV(ctx, a)
	}
	e.stream(ctx, w, a, req.Offset)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	var p protocol.AttemptPosition
	if !readJSON(w, r, &p) {
		return
	}
	ctx, cancel := e.streamContext(r.Context())
	defer cancel()
	e.mu.Lock()
	a := e.incarnation.attempts[p.ID]
	resumable := a != nil && !a.discarded && p.Offset >= a.req.Offset
	e.mu.Unlock()
	if !resumable {
		writeFault(w, http.StatusNotFound, protocol.Fault{Code: protocol.FaultNotFound, Message: "no attempt " + p.ID})
		return
	}
	e.stream(ctx, w, a, p.Offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var p protocol.AttemptPosition
	if !readJSON(w, r, &p) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.incarnation.attempts[p.ID]; a != nil {
		e.finish(a, OutcomeCancelled)
	}
}

// streamContext returns a context that is also cancelled when the engine crashes or its streams are cut.
func (e *Engine) streamContext(ctx context.Context) (context.Context, context.CancelFunc) {
	e.mu.Lock()
	streamCtx := e.incarnation.streamCtx
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(streamCtx, cancel)
	return ctx, func() { stop(); cancel() }
}

// stream writes the tokens of a from index from on as server-sent events, followed by a result or an error event. It aborts the
// connection when ctx ends.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, a *attempt, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	for {
		if err := rc.Flush(); err != nil {
			return
		}
		tokens, ended := e.awaitTokens(ctx, a, from)
		if ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		for _, t := range tokens {
			writeEvent(w, protocol.EventToken, fighollow.Token{Index: from, Text: t})
			from++
		}
		if !ended {
			continue
		}
		e.mu.Lock()
		fault, result := a.fault, a.result
		e.mu.Unlock()
		if fault.Code != "" {
			writeEvent(w, protocol.EventError, fault)
		} else {
			writeEvent(w, protocol.EventResult, result)
		}
		return
	}
}

func writeEvent(w http.ResponseWriter, name string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // all events are plain structs
	}
	// A failed write cancels the context of the request.
	_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<20)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only when the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func writeFault(w http.ResponseWriter, status int, f protocol.Fault) { writeJSON(w, status, f) }

// export is a KV cache that other engines can fetch.
type export struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
	Model  string `json:"model"`
}

// export stores the KV cache of a prompt and returns a reference to it. e.mu must be held.
func (e *Engine) export(req fighollow.GenerateRequest) *fighollow.KVRef {
	e.incarnation.lastHandle++
	handle := fmt.Sprintf("kv-%d-%d", e.incarnation.started.UnixNano(), e.incarnation.lastHandle)
	e.incarnation.exports[handle] = export{Prompt: req.Prompt, Tokens: req.PromptTokens, Model: req.Model}
	return &fighollow.KVRef{Address: e.opts.Address, Handle: handle, Tokens: req.PromptTokens}
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	if !e.wait(r.Context(), StepExport) {
		return
	}
	e.mu.Lock()
	x, ok := e.incarnation.exports[r.PathValue("handle")]
	e.mu.Unlock()
	if !ok {
		writeFault(w, http.StatusNotFound, protocol.Fault{Code: protocol.FaultNotFound, Message: "no such KV cache"})
		return
	}
	writeJSON(w, http.StatusOK, x)
}

const importTimeout = 5 * time.Second

// importKV fetches the KV cache of a and admits a to the batch, or ends a as not run.
func (e *Engine) importKV(ctx context.Context, a *attempt) {
	x, err := fetchKV(ctx, *a.req.KV)
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.ended {
		return
	}
	if err != nil || x.Prompt != a.req.Prompt || x.Model != a.req.Model {
		e.finish(a, OutcomeNotRun)
		return
	}
	e.admit(a, a.req.PromptTokens)
}

func fetchKV(ctx context.Context, ref fighollow.KVRef) (export, error) {
	var x export
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ref.Address+"/kv/"+ref.Handle, nil)
	if err != nil {
		return x, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return x, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return x, fmt.Errorf("engine: fetch KV cache: status %d", res.StatusCode)
	}
	return x, json.NewDecoder(res.Body).Decode(&x)
}
