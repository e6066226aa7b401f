package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/engine"
	"github.com/fighollow/fighollow/internal/standin/load"
	"github.com/fighollow/fighollow/pkg/client"
)

// loadCommand returns the command that sends the same load through an entry and, with --direct, to an engine.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests as callers do, and measure latency and throughput",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Required: true, Usage: "IP:port at which an entry serves callers"},
			&cli.StringFlag{Name: "direct", Usage: "IP:port of an engine that gets the same load directly, for comparison"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "key of the workspace"},
			&cli.StringFlag{Name: "model", Required: true, Usage: "name of the model"},
			&cli.IntFlag{Name: "requests", Value: 200, Usage: "total requests"},
			&cli.IntFlag{Name: "concurrency", Value: 8, Usage: "requests in flight at once"},
			&cli.IntFlag{Name: "prompt-bytes", Value: 400, Usage: "length of a prompt"},
			&cli.IntFlag{Name: "shared-bytes", Usage: "length of the prompt prefix that all requests share"},
			&cli.IntFlag{Name: "tokens", Value: 64, Usage: "maximum output tokens of a request"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	opts := load.Options{
		Requests: cmd.Int("requests"), Concurrency: cmd.Int("concurrency"), PromptBytes: cmd.Int("prompt-bytes"),
		MaxTokens: cmd.Int("tokens"), SharedBytes: cmd.Int("shared-bytes"),
	}
	if opts.Requests < 1 || opts.Concurrency < 1 || opts.SharedBytes < 0 {
		return fmt.Errorf("requests and concurrency must be above 0 and shared-bytes must not be negative")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: opts.Concurrency}
	entry := &load.Entry{
		Model: cmd.String("model"),
		Client: client.New(client.Options{
			URL: "http://" + cmd.String("entry"), Key: cmd.String("key"), MaxAttempts: 1, HTTP: &http.Client{Transport: transport},
		}),
	}
	t := tabwriter.NewWriter(cmd.Root().Writer, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "path\tcompleted\tfailed\trequests/s\ttokens/s\tfirst p50 us\tfirst p95 us\tgap p50 us\tgap p95 us\t")
	var results []*load.Result
	if addr := cmd.String("direct"); addr != "" {
		direct := &load.Direct{Engine: engine.New(addr, nil), Model: cmd.String("model")}
		results = append(results, printResult(t, "direct", load.Run(ctx, direct, opts)))
	}
	results = append(results, printResult(t, "entry", load.Run(ctx, entry, opts)))
	if err := t.Flush(); err != nil {
		return err
	}
	return printErrors(cmd.Root().Writer, results)
}

func printResult(w io.Writer, path string, r *load.Result) *load.Result {
	s := r.Elapsed.Seconds()
	fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t\n", path, r.Completed, r.Failed,
		float64(r.Completed)/s, float64(r.Tokens)/s,
		r.FirstToken.ValueAtQuantile(50), r.FirstToken.ValueAtQuantile(95), r.InterToken.ValueAtQuantile(50), r.InterToken.ValueAtQuantile(95))
	return r
}

func printErrors(w io.Writer, results []*load.Result) error {
	for _, r := range results {
		messages := make([]string, 0, len(r.Errors))
		for m := range r.Errors {
			messages = append(messages, m)
		}
		slices.Sort(messages)
		for _, m := range messages {
			if _, err := fmt.Fprintf(w, "%6d  %s\n", r.Errors[m], m); err != nil {
				return err
			}
		}
	}
	return nil
}
