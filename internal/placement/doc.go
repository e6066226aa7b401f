// Package placement decides which engine or plain service gets an attempt. It knows the upstreams of each service, what
// this entry has sent to them, how they answered, and which prompt prefixes they hold. It takes the present time as an
// argument and sends nothing.
package placement
