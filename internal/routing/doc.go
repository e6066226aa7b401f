// Package routing chooses upstreams for requests by load, cached prefixes, role and data centre. It is pure: the caller
// passes observations and the current time, and the package neither reads a clock nor does I/O. Its types are not safe for
// concurrent use.
package routing
