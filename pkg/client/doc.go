// Package client calls a fighollow entry from Go programs.
//
// It keeps the system's promises on the caller's side: an answer is whole or an error, a request that was not run is
// sent again when the entry says that this can help, and a request whose outcome is unknown is sent again only with the
// same idempotency key, under which it runs at most once.
package client
