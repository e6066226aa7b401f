// Package placement chooses the engine or plain service instance for each attempt. It tracks the upstreams of each service,
// the attempts that this entry has in flight at them, their recent outcomes and latencies, and the prompt prefixes in their
// caches. It performs no I/O and reads no clock: callers pass the current time.
package placement
