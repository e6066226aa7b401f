package admission

import "github.com/fighollow/fighollow/pkg/fighollow"

// refuse returns a refusal with OutcomeNotRun. The retry delay is clamped to [minRetryMs, maxRetryMs].
func refuse(code fighollow.Code, message string, retryMs int64) *fighollow.Refusal {
	return &fighollow.Refusal{
		Code: code, Message: message, Outcome: fighollow.OutcomeNotRun, RetryAfterMs: min(max(retryMs, minRetryMs), maxRetryMs),
	}
}
