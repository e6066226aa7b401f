package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"` // system, user or assistant
	Content string `json:"content"`
}

// ChatRequest asks for a completion of a conversation, the model's next message.
type ChatRequest struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	// MaxTokens is the maximum length of the completion in tokens; 0 means the model's limit.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Adapter names an adapter of the model; empty for none.
	Adapter string `json:"adapter,omitempty"`
	// Key is the idempotency key, from NewKey; empty if the request may run twice. Without a key, the client does not
	// retry a request whose outcome is unknown.
	Key string `json:"-"`
}

// Completion is a complete response to a ChatRequest.
type Completion struct {
	ID           string // as given by the entry
	Upstream     string // id of the engine that generated the text
	Text         string
	FinishReason string // "stop" at the model's end of text, or "length" at MaxTokens
	PromptTokens int
	CachedTokens int // prompt tokens found in the prefix cache
	OutputTokens int
}

// completionBody is a completion, or a chunk of one, on the wire.
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

// Chat sends r and returns the complete response. Failed requests return an *Error.
func (cl *Client) Chat(ctx context.Context, r ChatRequest) (*Completion, error) {
	res, err := cl.chat(ctx, r, false)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var b completionBody
	if err := json.NewDecoder(res.Body).Decode(&b); err != nil {
		return nil, &Error{Status: res.StatusCode, Message: "incomplete response: " + err.Error()}
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
