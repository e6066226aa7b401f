package faults_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/fighollow/fighollow/internal/standin/engine"
)

const maxTokens = 20

// record is what a stand-in recorded: attempts and orders of an engine, calls of a plain service.
type record struct {
	Attempts []struct {
		ID      string `json:"id"`
		Prompt  string `json:"prompt"`
		Outcome string `json:"outcome"`
	} `json:"attempts"`
	Orders []struct {
		Assignment struct {
			Fence uint64 `json:"fence"`
		} `json:"assignment"`
		AtMs      int64  `json:"atMs"`
		Running   int    `json:"running"`
		Result    string `json:"result"`
		AppliedMs int64  `json:"appliedMs"`
	} `json:"orders"`
	Calls []struct {
		Body string `json:"body"`
	} `json:"calls"`
	Held map[string]int `json:"held"`
}

// request is one caller's request and the answer that it got.
type request struct {
	id         string // the prompt of a completion, the body of a service call
	completion bool
	once       bool // must not run twice
	key        string
	done       chan struct{} // closed when the answer has ended

	status  int
	text    string // of the answer
	whole   bool   // the answer says that it is complete
	broken  bool   // the answer says, or the connection shows, that it is not
	notRun  bool
	code    string
	trouble string
}

// complete sends a streamed completion, which may be repeated.
func (f *fleet) complete(entry int, prompt string) *request {
	body, _ := json.Marshal(object{"model": model, "prompt": prompt, "max_tokens": maxTokens, "stream": true})
	return f.send(&request{id: prompt, completion: true}, entry, "/v1/completions", body)
}

// call sends a call to the plain service that must run at most once.
func (f *fleet) call(entry int, body, key string) *request {
	return f.send(&request{id: body, once: true, key: key}, entry, "/services/s/orders", []byte(body))
}

func (f *fleet) send(q *request, entry int, path string, body []byte) *request {
	q.done = make(chan struct{})
	f.mu.Lock()
	f.requests = append(f.requests, q)
	f.mu.Unlock()
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.http[entry]+path, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("X-Workspace-Key", workspaceKey)
	if q.key != "" {
		req.Header.Set("Idempotency-Key", q.key)
	}
	go func() {
		defer close(q.done)
		// A connection of its own shows a broken answer of this request only.
		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		res, err := c.Do(req)
		if err != nil {
			q.broken, q.trouble = true, err.Error()
			return
		}
		defer res.Body.Close()
		q.status = res.StatusCode
		q.read(res)
	}()
	return q
}

func (q *request) read(res *http.Response) {
	switch {
	case strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream"):
		q.readEvents(res.Body)
	default:
		b, err := io.ReadAll(res.Body)
		q.text = string(b)
		q.broken = err != nil
		q.whole = err == nil && res.StatusCode == http.StatusOK
		if res.StatusCode != http.StatusOK {
			q.readError(b)
		}
	}
}

func (q *request) readEvents(r io.Reader) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			q.whole = true
			continue
		}
		var e struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
			Error *struct{} `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			q.trouble = "event is not JSON: " + data
			return
		}
		if e.Error != nil {
			q.readError([]byte(data))
		}
		for _, c := range e.Choices {
			q.text += c.Text
		}
	}
	q.broken = q.broken || s.Err() != nil
}

func (q *request) readError(b []byte) {
	var e struct {
		Error struct {
			Code   string `json:"code"`
			NotRun bool   `json:"notRun"`
		} `json:"error"`
	}
	if err := json.Unmarshal(b, &e); err != nil || e.Error.Code == "" {
		q.trouble = "refusal is not JSON: " + string(b)
		return
	}
	q.broken, q.code, q.notRun = true, e.Error.Code, e.Error.NotRun
}

func (q *request) String() string {
	return fmt.Sprintf("request %q: status %d, whole %v, broken %v, code %q, notRun %v, text %q, trouble %q",
		q.id, q.status, q.whole, q.broken, q.code, q.notRun, q.text, q.trouble)
}

// records returns what the stand-ins have recorded, including those that were killed.
func (f *fleet) records() []record {
	var all []record
	for _, u := range f.upstreams() {
		var r record
		if !u.standin.ended() && !get("http://"+u.addr+"/record", &r) {
			f.t.Errorf("no record of %s", u.id)
		}
		all = append(all, r, u.lost)
	}
	return all
}

// check is the oracle of every cell.
func (f *fleet) check(t *testing.T) {
	runs := make(map[string]int)
	for _, r := range f.records() {
		for _, a := range r.Attempts {
			if a.Outcome != "notRun" {
				runs[a.Prompt]++
			}
		}
		for _, c := range r.Calls {
			runs[c.Body]++
		}
		checkOrders(t, r)
	}
	f.checkPlans(t)
	f.mu.Lock()
	defer f.mu.Unlock()
	stored := make(map[string]string)
	for _, q := range f.requests {
		select {
		case <-q.done:
			q.check(t, runs[q.id])
			if first, ok := stored[q.key]; q.key != "" && q.whole {
				if ok && first != q.text {
					t.Errorf("another answer %q to the same key: %v", first, q)
				}
				stored[q.key] = q.text
			}
		case <-f.ctx.Done():
			t.Errorf("no answer: request %q", q.id)
		}
	}
}

func (q *request) check(t *testing.T, runs int) {
	if q.trouble != "" && !q.broken {
		t.Errorf("malformed answer: %v", q)
	}
	if q.whole == q.broken {
		t.Errorf("an answer is either whole or marked as broken: %v", q)
	}
	if q.once && runs > 1 {
		t.Errorf("ran %d times: %v", runs, q)
	}
	if q.whole && runs == 0 {
		t.Errorf("whole answer without a run: %v", q)
	}
	if q.notRun && q.key == "" && runs > 0 {
		t.Errorf("said not run and ran %d times: %v", runs, q)
	}
	if !q.completion {
		return
	}
	want := engine.Text(q.id, 0, maxTokens)
	if q.whole && q.text != want {
		t.Errorf("tokens differ: %v", q)
	}
	if !strings.HasPrefix(want, q.text) && q.status == http.StatusOK {
		t.Errorf("tokens are not a prefix of the answer: %v", q)
	}
}

// checkOrders demands growing fences among the orders taken, none during another change and none over running work.
func checkOrders(t *testing.T, r record) {
	fence, appliedMs := uint64(0), int64(0)
	for _, o := range r.Orders {
		if o.Result != "taken" {
			continue
		}
		if o.Assignment.Fence < fence {
			t.Errorf("order with fence %d taken after %d", o.Assignment.Fence, fence)
		}
		if o.Running > 0 {
			t.Errorf("order with fence %d interrupted %d requests", o.Assignment.Fence, o.Running)
		}
		if o.AtMs < appliedMs {
			t.Errorf("order with fence %d taken during another change", o.Assignment.Fence)
		}
		fence, appliedMs = o.Assignment.Fence, o.AppliedMs
	}
}

// checkPlans demands that no plan is made for an older preset than the plan before it, and that revisions grow by one.
func (f *fleet) checkPlans(t *testing.T) {
	var writes []struct {
		Kind    string `json:"kind"`
		Version uint64 `json:"version"`
		Value   struct {
			Revision      uint64 `json:"revision"`
			PresetVersion uint64 `json:"presetVersion"`
		} `json:"value"`
	}
	if f.objects.ended() {
		return
	}
	if !get("http://"+f.api+"/record", &writes) {
		t.Error("no record of the object API")
	}
	revision, preset := uint64(0), uint64(0)
	for _, w := range writes {
		if w.Kind != "plan" || w.Version == 0 {
			continue
		}
		if w.Value.Revision != revision+1 || w.Value.PresetVersion < preset {
			t.Errorf("plan %d for preset version %d follows plan %d for %d", w.Value.Revision, w.Value.PresetVersion, revision, preset)
		}
		revision, preset = w.Value.Revision, w.Value.PresetVersion
	}
}
