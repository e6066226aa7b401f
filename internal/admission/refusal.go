package admission

import "github.com/fighollow/fighollow/pkg/fighollow"

// refuse returns a refusal of work that did not run; the time after which to ask again is kept within bounds.
func refuse(code fighollow.Code, message string, retryMs int64) *fighollow.Refusal {
	return &fighollow.Refusal{
		Code: code, Message: message, Outcome: fighollow.NotRun, RetryAfterMs: min(max(retryMs, minRetryMs), maxRetryMs),
	}
}
