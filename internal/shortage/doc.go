// Package shortage lets the entries tell the holder of the role lease that a software version has no decode engine that answers, and lets the
// holder tell them when one will be ready. Streams that the version began go on at no other, so their callers wait for that engine.
//
// Messages are datagrams between the entry that reports and the holder alone. Nothing is confirmed: a report is repeated while a stream waits.
package shortage
