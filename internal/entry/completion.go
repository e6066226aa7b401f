package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/routing"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Defaults for models that do not set these values.
const (
	defaultBytesPerToken   = 4
	defaultMaxOutputTokens = 4096
)

// completionBody holds the fields of a completion request that the entry uses. Other fields are accepted and ignored.
type completionBody struct {
	Model               string          `json:"model"`
	Adapter             string          `json:"adapter"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request, info *requestInfo) *fighollow.Refusal {
	return e.complete(w, r, info, true)
}

func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request, info *requestInfo) *fighollow.Refusal {
	return e.complete(w, r, info, false)
}

func (e *Entry) complete(w http.ResponseWriter, r *http.Request, info *requestInfo, chat bool) *fighollow.Refusal {
	body, refusal := e.readBody(w, r)
	if refusal != nil {
		return refusal
	}
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return notRun(fighollow.CodeBadRequest, "the body is not a JSON completion request: "+err.Error())
	}
	model := info.view.models[b.Model]
	if model == nil {
		return notRun(fighollow.CodeModelNotFound, "no such model")
	}
	gen, err := b.generateRequest(model, chat)
	if err != nil {
		return notRun(fighollow.CodeBadRequest, err.Error())
	}
	gen.Priority = info.workspace.Priority
	deadline, refusal := requestDeadline(r, info.arrived, info.workspace.DeadlineMs, defaultDeadlineMs)
	if refusal != nil {
		return refusal
	}
	q := &request{
		info: info, kind: link.CallGenerate, deadline: deadline, key: r.Header.Get(headerIdempotencyKey), generate: gen,
		idempotent: !model.NonIdempotent && r.Header.Get(headerIdempotencyKey) == "",
	}
	q.route = routing.Request{
		Target:       routing.Target{Kind: fighollow.InstanceEngine, Name: model.Name},
		Blocks:       routing.AppendBlocks(nil, model.Name+"/"+gen.Adapter, gen.Prompt, bytesPerToken(model)),
		PromptTokens: gen.PromptTokens,
		NoSplit:      !q.idempotent, // once a prefill has run, the outcome can no longer be not run
	}
	return e.runCompletion(r.Context(), w, q, &completionFormat{
		chat: chat, id: info.id, model: model.Name, created: info.arrived.Unix(), stream: b.Stream, usage: b.StreamOptions.IncludeUsage,
	})
}

// generateRequest validates the body and converts it to a request for an engine. The text of an error is sent to the caller.
func (b *completionBody) generateRequest(model *fighollow.Model, chat bool) (fighollow.GenerateRequest, error) {
	var g fighollow.GenerateRequest
	if b.N != nil && *b.N != 1 {
		return g, errors.New("n must be 1")
	}
	prompt, err := b.promptText(chat)
	if err != nil {
		return g, err
	}
	limit := model.MaxOutputTokens
	if limit <= 0 {
		limit = defaultMaxOutputTokens
	}
	requested := b.MaxTokens
	if b.MaxCompletionTokens != nil {
		requested = b.MaxCompletionTokens
	}
	maxTokens := limit
	if requested != nil {
		if *requested <= 0 {
			return g, errors.New("max_tokens must be a positive integer")
		}
		maxTokens = min(*requested, limit)
	}
	return fighollow.GenerateRequest{
		Model: model.Name, Adapter: b.Adapter, Phase: fighollow.RequestWhole, Prompt: prompt,
		PromptTokens: max(1, int(float64(len(prompt))/bytesPerToken(model))), MaxTokens: maxTokens,
	}, nil
}

func bytesPerToken(model *fighollow.Model) float64 {
	if model.BytesPerToken <= 0 {
		return defaultBytesPerToken
	}
	return model.BytesPerToken
}

// promptText returns the prompt as one string. Chat messages become lines of role and content, followed by the role of the
// answer. The prompt of a conversation thus starts with that of its earlier turns, so that their cached prefix can be reused.
func (b *completionBody) promptText(chat bool) (string, error) {
	if !chat {
		var s string
		if json.Unmarshal(b.Prompt, &s) != nil || s == "" {
			return "", errors.New("prompt must be a string that is not empty")
		}
		return s, nil
	}
	if len(b.Messages) == 0 {
		return "", errors.New("messages must not be empty")
	}
	var sb strings.Builder
	for _, m := range b.Messages {
		content, err := m.text()
		if err != nil {
			return "", err
		}
		sb.WriteString(m.Role)
		sb.WriteString(": ")
		sb.WriteString(content)
		sb.WriteByte('\n')
	}
	sb.WriteString("assistant: ")
	return sb.String(), nil
}

func (m *chatMessage) text() (string, error) {
	if m.Role == "" {
		return "", errors.New("each message needs a role")
	}
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s, nil
	}
	var parts []contentPart
	if json.Unmarshal(m.Content, &parts) != nil {
		return "", errors.New("content must be a string or a list of text parts")
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", errors.New("content parts must have type text")
		}
		s += p.Text
	}
	return s, nil
}
