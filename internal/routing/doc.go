// Package routing chooses upstreams for requests. It is pure: it takes what is known and the current time, and returns
// decisions; it neither reads a clock nor sends anything. Its types are not safe for concurrent use.
package routing
