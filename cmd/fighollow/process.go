package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/fighollow/fighollow/internal/admin"
	"github.com/fighollow/fighollow/internal/membership"
)

// printProcesses prints the status of each process. It continues after a process that does not answer, and returns all
// errors joined.
func printProcesses(ctx context.Context, w io.Writer, addrs []string) error {
	var errs error
	for _, addr := range addrs {
		s, err := fetchStatus(ctx, addr)
		if err != nil {
			errs = errors.Join(errs, err)
			continue
		}
		fmt.Fprintf(w, "%s in %s: %s; preset %s (version %d), objects up to version %d; members: %s\n",
			s.ID, s.DataCentre, s.State, s.Preset, s.PresetVersion, s.HighestVersion, memberSummary(s.Members))
	}
	return errs
}

func fetchStatus(ctx context.Context, addr string) (admin.Status, error) {
	var s admin.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/status", nil)
	if err != nil {
		return s, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return s, fmt.Errorf("process %s: status %d", addr, res.StatusCode)
	}
	if err := json.NewDecoder(res.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("process %s: %w", addr, err)
	}
	return s, nil
}

// memberSummary returns the number of members in each state, as text.
func memberSummary(members []admin.MemberStatus) string {
	counts := make(map[membership.State]int)
	for _, m := range members {
		counts[m.State]++
	}
	var parts []string
	for _, state := range []membership.State{membership.Alive, membership.Suspect, membership.Leaving, membership.Dead} {
		if n := counts[state]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, state))
		}
	}
	return strings.Join(parts, ", ")
}
