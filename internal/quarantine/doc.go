// Package quarantine finds requests, and parts of prompts, that crash engines and withholds the requests that have them.
//
// An engine that crashes breaks off everything it was working on, mostly sound requests. What tells the cause apart: no answer to it is
// ever completed, and it is in several crashes, each of another engine. Each entry sees only its own requests, so the entries publish
// those that broke off and were not exonerated, and whichever entry first has enough evidence puts the request or the part into
// quarantine for all.
package quarantine
