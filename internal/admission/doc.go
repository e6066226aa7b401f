// Package admission decides at once whether a request is taken: by the limits of its workspace at an entry, and by
// slots, deadline and worth at a sidecar. It is pure: the current time is an argument.
package admission
