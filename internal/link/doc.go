// Package link carries messages between the system's own processes over TCP.
//
// A frame is a 4-byte big-endian length followed by one msgpack array [type, message]. Each side first sends Hello.
// After that a Conn carries, in both directions: streams (a Call and its response messages), unary requests with a reply
// (Ask) and one-way messages (Tell). A malformed or oversized frame closes only the Conn on which it arrived.
package link
