// Package client is the Go client of a fighollow entry's HTTP API: completions of models and calls of plain services.
//
// It extends the system's guarantees to the calling program: a response is complete or an error, a request that did not
// run is sent again if the entry says that a retry can help, and a request whose outcome is unknown is sent again only
// with the same idempotency key, under which it runs at most once.
package client
