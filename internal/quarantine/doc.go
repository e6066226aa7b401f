// Package quarantine finds parts of prompts that crash engines and withholds the requests that have them.
//
// An engine that crashes breaks off everything it was working on, mostly sound requests. What tells the part apart that crashed
// it: no answer to a prompt with it is ever completed, and it is in the prompts of several crashes, each of another engine under
// another prompt. Each entry sees only its own requests, so the entries publish those that broke off and were not exonerated, with
// their registrations, and whichever entry first has enough evidence puts the part into quarantine for all.
package quarantine
