package faults_test

import (
	"context"
	"sync"
	"time"
)

// watchPresets polls the version of the preset in force in each process's status until stop is called. A version lower
// than an earlier one of the same process is an error, also after a restart. Version 0 is ignored: the process has just
// started.
func (f *fleet) watchPresets(admins []string) (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	var wg sync.WaitGroup
	for _, addr := range admins {
		wg.Go(func() {
			var highest uint64
			for ctx.Err() == nil {
				var s struct {
					PresetVersion uint64 `json:"presetVersion"`
				}
				if get("http://"+addr+"/status", &s) && s.PresetVersion != 0 {
					if s.PresetVersion < highest {
						f.t.Errorf("%s reports preset version %d after %d", addr, s.PresetVersion, highest)
					}
					highest = max(highest, s.PresetVersion)
				}
				wait(ctx.Done(), 50*time.Millisecond)
			}
		})
	}
	return sync.OnceFunc(func() { cancel(); wg.Wait() })
}
