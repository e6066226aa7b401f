package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/google/uuid"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// HTTP sends streamed chat completions to an entry.
type HTTP struct {
	URL    string // as http://127.0.0.1:7003
	Key    string // of the workspace
	Model  string
	Client *http.Client
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Complete implements Target. Each event of the stream counts as one token.
func (h *HTTP) Complete(ctx context.Context, prompt string, maxTokens int, token func(n int)) error {
	body, err := json.Marshal(chatBody{
		Model: h.Model, Stream: true, MaxTokens: maxTokens, Messages: []chatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.URL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+h.Key)
	req.Header.Set("Content-Type", "application/json")
	res, err := h.Client.Do(req)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return refused(res)
	}
	return readEvents(res.Body, token)
}

func refused(res *http.Response) error {
	var r struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.NewDecoder(res.Body).Decode(&r) // the status is enough when the body is not JSON
	return fmt.Errorf("load: status %d, code %s", res.StatusCode, r.Error.Code)
}

var errNotWhole = errors.New("load: stream ended without [DONE]")

func readEvents(r io.Reader, token func(n int)) error {
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data: "))
		switch {
		case !ok:
		case string(data) == "[DONE]":
			return nil
		case bytes.Contains(data, []byte(`"error"`)):
			return errors.New("load: error event in the stream")
		case bytes.Contains(data, []byte(`"content":"`)):
			token(1)
		}
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("load: %w", err)
	}
	return errNotWhole
}

// Direct sends requests to an engine without the system between.
type Direct struct {
	Engine fighollow.Engine
	Model  string
}

// Complete implements Target.
func (d *Direct) Complete(ctx context.Context, prompt string, maxTokens int, token func(n int)) error {
	s, err := d.Engine.Generate(ctx, fighollow.GenerateRequest{
		ID: uuid.NewString(), Model: d.Model, Phase: fighollow.RequestWhole,
		Prompt: prompt, PromptTokens: len(prompt) / 4, MaxTokens: maxTokens,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		if _, err := s.Next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		token(1)
	}
}
