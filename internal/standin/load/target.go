package load

import (
	"context"
	"errors"
	"io"

	"github.com/google/uuid"

	"github.com/fighollow/fighollow/pkg/client"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Entry sends streamed chat completions to an entry.
type Entry struct {
	Client *client.Client
	Model  string
}

// Complete implements Target.
func (e *Entry) Complete(ctx context.Context, prompt string, maxTokens int, token func(n int)) error {
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
		token(words(text))
	}
}

// words counts the tokens of a text of the engine stand-in, which end with a space each. One event can hold several.
func words(text string) int {
	n := 0
	for _, c := range text {
		if c == ' ' {
			n++
		}
	}
	return max(n, 1)
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
