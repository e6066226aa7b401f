// Package link carries messages between the system's own processes over TCP.
//
// A frame is a 4-byte big-endian length followed by one msgpack array [type, message]. Each side first sends Hello.
// After that a Conn carries, in both directions: request streams (Call and what answers it), questions with a reply
// (Ask) and one-way messages (Tell). A malformed or oversized frame closes that Conn and no other.
package link
