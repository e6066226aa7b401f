package faults_test

import (
	"context"
	"sync"
	"time"
)

// watchPresets follows the version of the choice that each process shows, until stop is called. A process that shows a
// lower version than before, also after a restart, is an error; one that shows none has just started.
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
						f.t.Errorf("%s shows preset version %d after %d", addr, s.PresetVersion, highest)
					}
					highest = max(highest, s.PresetVersion)
				}
				wait(ctx.Done(), 50*time.Millisecond)
			}
		})
	}
	return sync.OnceFunc(func() { cancel(); wg.Wait() })
}
