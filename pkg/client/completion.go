package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// Message is one part of a conversation.
type Message struct {
	Role    string `json:"role"` // system, user or assistant
	Content string `json:"content"`
}

// ChatRequest asks for a completion of a conversation.
type ChatRequest struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	// MaxTokens bounds the answer; 0 means the model's limit.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Adapter names an adapter of the model; empty for none.
	Adapter string `json:"adapter,omitempty"`
	// Key is the idempotency key, from NewKey; empty when the request may run twice.
	Key string `json:"-"`
}

// Completion is a whole answer.
type Completion struct {
	ID           string
	Upstream     string // the engine that answered
	Text         string
	FinishReason string // stop or length
	PromptTokens int
	CachedTokens int // prompt tokens found in the prefix cache
	OutputTokens int
}

type completionBody struct {
	ID      string `json:"id"`
	Choices []struct {
		Message      Message `json:"message"`
		Delta        Message `json:"delta"`
		FinishReason string  `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		PromptTokens        int `json:"prompt_tokens"`
		CompletionTokens    int `json:"completion_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// Chat returns the whole answer to r. Errors are *Error.
func (cl *Client) Chat(ctx context.Context, r ChatRequest) (*Completion, error) {
	res, err := cl.chat(ctx, r, false)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var b completionBody
	if err := json.NewDecoder(res.Body).Decode(&b); err != nil {
		return nil, &Error{Status: res.StatusCode, Message: "the answer broke off: " + err.Error()}
	}
	c := &Completion{
		ID: b.ID, Upstream: res.Header.Get("X-Fighollow-Upstream"),
		PromptTokens: b.Usage.PromptTokens, OutputTokens: b.Usage.CompletionTokens,
		CachedTokens: b.Usage.PromptTokensDetails.CachedTokens,
	}
	if len(b.Choices) > 0 {
		c.Text, c.FinishReason = b.Choices[0].Message.Content, b.Choices[0].FinishReason
	}
	return c, nil
}

func (cl *Client) chat(ctx context.Context, r ChatRequest, stream bool) (*http.Response, error) {
	body, err := json.Marshal(struct {
		ChatRequest
		Stream bool `json:"stream,omitempty"`
	}{r, stream})
	if err != nil {
		return nil, fmt.Errorf("client: encode request: %w", err)
	}
	return cl.send(ctx, call{
		method: http.MethodPost, path: "/v1/chat/completions", body: body, key: r.Key,
		header: http.Header{"Content-Type": {"application/json"}},
	}, isOK)
}
