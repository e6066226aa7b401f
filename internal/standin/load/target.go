package load

import (
	"context"
	"errors"
	"io"

	"github.com/google/uuid"

	"github.com/fighollow/fighollow/pkg/client"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Entry is a Target that sends streamed chat completions to an entry.
type Entry struct {
	Client *client.Client
	Model  string
}

// Complete implements Target.
func (e *Entry) Complete(ctx context.Context, prompt string, maxTokens int, onTokens func(n int)) error {
	s, err := e.Client.ChatStream(ctx, client.ChatRequest{
		Model: e.Model, MaxTokens: maxTokens, Messages: []client.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		text, err := s.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		onTokens(countTokens(text))
	}
}

// countTokens counts the tokens in a piece of an answer. Each token of the engine stand-in ends with a space, and one event can
// hold several tokens.
func countTokens(text string) int {
	n := 0
	for _, c := range text {
		if c == ' ' {
			n++
		}
	}
	return max(n, 1)
}

// Direct is a Target that sends requests directly to an engine.
type Direct struct {
	Engine fighollow.Engine
	Model  string
}

// Complete implements Target.
func (d *Direct) Complete(ctx context.Context, prompt string, maxTokens int, onTokens func(n int)) error {
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
		onTokens(1)
	}
}
