// Package admission decides whether a request is admitted, queued or refused: at an entry by the limits of its
// workspace, at a sidecar by slots, deadline and worth. All decisions are pure: they depend only on the arguments, which
// include the current time, and on earlier calls.
package admission
