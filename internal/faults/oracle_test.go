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

// record is a stand-in's record: attempts and orders of an engine, calls of a plain service.
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

// request is a caller's request and its answer.
type request struct {
	id         string // the prompt of a completion, the body of a service call
	completion bool
	atMostOnce bool // must not run more than once
	key        string
	done       chan struct{} // closed at the end of the answer

	status   int
	text     string // of the answer
	complete bool   // the answer arrived completely
	failed   bool   // the answer is a refusal, ended with an error or was cut off
	notRun   bool
	code     string
	errText  string // transport error or malformed part of the answer
}

// sendCompletion sends a request for a streamed completion, which may run more than once.
func (f *fleet) sendCompletion(entry int, prompt string) *request {
	body, _ := json.Marshal(object{"model": model, "prompt": prompt, "max_tokens": maxTokens, "stream": true})
	return f.send(&request{id: prompt, completion: true}, entry, "/v1/completions", body)
}

// sendCall sends a call to the plain service, which must run at most once.
func (f *fleet) sendCall(entry int, body, key string) *request {
	return f.send(&request{id: body, atMostOnce: true, key: key}, entry, "/services/s/orders", []byte(body))
}

func (f *fleet) send(q *request, entry int, path string, body []byte) *request {
	q.done = make(chan struct{})
	f.mu.Lock()
	f.requests = append(f.requests, q)
	f.mu.Unlock()
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.httpAddrs[entry]+path, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("X-Workspace-Key", workspaceKey)
	if q.key != "" {
		req.Header.Set("Idempotency-Key", q.key)
	}
	go func() {
		defer close(q.done)
		// With its own connection, the request is not affected by the broken connection of another one.
		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		res, err := c.Do(req)
		if err != nil {
			q.failed, q.errText = true, err.Error()
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
		q.failed = err != nil
		q.complete = err == nil && res.StatusCode == http.StatusOK
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
			q.complete = true
			continue
		}
		var e struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
			Error *struct{} `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			q.errText = "event is not JSON: " + data
			return
		}
		if e.Error != nil {
			q.readError([]byte(data))
		}
		for _, c := range e.Choices {
			q.text += c.Text
		}
	}
	q.failed = q.failed || s.Err() != nil
}

func (q *request) readError(b []byte) {
	var e struct {
		Error struct {
			Code   string `json:"code"`
			NotRun bool   `json:"notRun"`
		} `json:"error"`
	}
	if err := json.Unmarshal(b, &e); err != nil || e.Error.Code == "" {
		q.errText = "refusal is not JSON: " + string(b)
		return
	}
	q.failed, q.code, q.notRun = true, e.Error.Code, e.Error.NotRun
}

func (q *request) String() string {
	return fmt.Sprintf("request %q: status %d, complete %v, failed %v, code %q, notRun %v, text %q, error %q",
		q.id, q.status, q.complete, q.failed, q.code, q.notRun, q.text, q.errText)
}

// records returns the records of all stand-ins, including those that were killed.
func (f *fleet) records() []record {
	var records []record
	for _, u := range f.allUpstreams() {
		var r record
		if !u.standin.ended() && !get("http://"+u.addr+"/record", &r) {
			f.t.Errorf("no record of %s", u.id)
		}
		records = append(records, r, u.lastRecord)
	}
	return records
}

// check verifies the answers to all requests and the records of the stand-ins and of the object API after a cell: see
// request.check, checkOrders and checkPlans. Answers to the same idempotency key must not differ.
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
			if first, ok := stored[q.key]; q.key != "" && q.complete {
				if ok && first != q.text {
					t.Errorf("different answers to the same key, the first %q: %v", first, q)
				}
				stored[q.key] = q.text
			}
		case <-f.ctx.Done():
			t.Errorf("no answer: request %q", q.id)
		}
	}
}

func (q *request) check(t *testing.T, runs int) {
	if q.errText != "" && !q.failed {
		t.Errorf("malformed answer: %v", q)
	}
	if q.complete == q.failed {
		t.Errorf("answer must be either complete or failed: %v", q)
	}
	if q.atMostOnce && runs > 1 {
		t.Errorf("ran %d times: %v", runs, q)
	}
	if q.complete && runs == 0 {
		t.Errorf("complete answer although the request did not run: %v", q)
	}
	if q.notRun && q.key == "" && runs > 0 {
		t.Errorf("reported as not run but ran %d times: %v", runs, q)
	}
	if !q.completion {
		return
	}
	want := engine.Text(q.id, 0, maxTokens)
	if q.complete && q.text != want {
		t.Errorf("tokens differ: %v", q)
	}
	if !strings.HasPrefix(want, q.text) && q.status == http.StatusOK {
		t.Errorf("tokens are not a prefix of the answer: %v", q)
	}
}

// checkOrders checks that the fences of accepted orders never decrease, and that no order was accepted during another
// change or while requests were running.
func checkOrders(t *testing.T, r record) {
	fence, appliedMs := uint64(0), int64(0)
	for _, o := range r.Orders {
		if o.Result != "taken" {
			continue
		}
		if o.Assignment.Fence < fence {
			t.Errorf("order with fence %d accepted after fence %d", o.Assignment.Fence, fence)
		}
		if o.Running > 0 {
			t.Errorf("order with fence %d interrupted %d requests", o.Assignment.Fence, o.Running)
		}
		if o.AtMs < appliedMs {
			t.Errorf("order with fence %d accepted during another change", o.Assignment.Fence)
		}
		fence, appliedMs = o.Assignment.Fence, o.AppliedMs
	}
}

// checkPlans checks that no plan is made for an older preset version than the previous plan, and that revisions increase
// by one.
func (f *fleet) checkPlans(t *testing.T) {
	var writes []struct {
		Kind    string `json:"kind"`
		Version uint64 `json:"version"`
		Value   struct {
			Revision      uint64 `json:"revision"`
			PresetVersion uint64 `json:"presetVersion"`
		} `json:"value"`
	}
	if f.objectAPI.ended() {
		return
	}
	if !get("http://"+f.apiAddr+"/record", &writes) {
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
