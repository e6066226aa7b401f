package admission

import "github.com/fighollow/fighollow/pkg/fighollow"

// refuse returns a refusal with outcome NotRun. The retry delay is clamped to [minRetryMs, maxRetryMs].
func refuse(code fighollow.Code, message string, retryMs int64) *fighollow.Refusal {
	return &fighollow.Refusal{
		Code: code, Message: message, Outcome: fighollow.NotRun, RetryAfterMs: min(max(retryMs, minRetryMs), maxRetryMs),
	}
}
