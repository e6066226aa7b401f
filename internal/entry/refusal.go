package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// statusOf returns the HTTP status for the code of a refusal.
func statusOf(code fighollow.Code) int {
	switch code {
	case fighollow.CodeBadRequest, fighollow.CodeKeyNotUUIDv7:
		return http.StatusBadRequest
	case fighollow.CodeUnauthorised:
		return http.StatusUnauthorized
	case fighollow.CodeModelNotFound, fighollow.CodeServiceNotFound:
		return http.StatusNotFound
	case fighollow.CodeKeyInProgress, fighollow.CodeKeyAlreadyRun:
		return http.StatusConflict
	case fighollow.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case fighollow.CodeWorkspaceLimit:
		return http.StatusTooManyRequests
	case fighollow.CodeUpstreamFailed, fighollow.CodeDeadline, fighollow.CodeKeyUnknown, fighollow.CodeOutcomeUnknown:
		return statusOutcomeUnknown
	}
	return http.StatusServiceUnavailable
}

// statusOutcomeUnknown is the status for a request that may have run.
const statusOutcomeUnknown = http.StatusGatewayTimeout

// retryable reports whether a request that was refused with this code may succeed later.
func retryable(code fighollow.Code) bool {
	s := statusOf(code)
	return s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests || code == fighollow.CodeKeyInProgress
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    fighollow.Code `json:"code"`
	Message string         `json:"message"`
	NotRun  bool           `json:"notRun"`
}

func encodeRefusal(r *fighollow.Refusal) []byte {
	b, err := json.Marshal(errorBody{errorDetail{Code: r.Code, Message: r.Message, NotRun: r.Outcome == fighollow.OutcomeNotRun}})
	if err != nil { // strings and a bool always encode
		panic(err)
	}
	return b
}

// writeRefusal writes the refusal as JSON, with its status and Retry-After.
func writeRefusal(w http.ResponseWriter, r *fighollow.Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if r.RetryAfterMs > 0 {
		h.Set("Retry-After", strconv.FormatInt(max(1, (r.RetryAfterMs+999)/1000), 10))
	}
	w.WriteHeader(statusOf(r.Code))
	w.Write(encodeRefusal(r))
}

// defaultRetryAfterMs is used for retryable refusals that do not set a time.
const defaultRetryAfterMs = 1000

func notRun(code fighollow.Code, message string) *fighollow.Refusal {
	r := fighollow.NotRunRefusal(code, message)
	if retryable(code) {
		r.RetryAfterMs = defaultRetryAfterMs
	}
	return r
}
