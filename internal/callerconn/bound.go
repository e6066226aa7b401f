package callerconn

const (
	// reservedFiles is the part of an instance's descriptors that is not for sockets.
	reservedFiles = 200
	// callerShare divides the sockets of an instance: the others are for upstreams, the store and other entries.
	callerShare = 2
	// connBytes is what a connection takes of the memory before what is counted: the stacks and buffers of its server, the part of a
	// header and of a body that does not count, and the buffers of the kernel, those of a connection to an upstream included.
	connBytes = 96 << 10
	// connMemoryShare divides an instance's memory: one part is for connections.
	connMemoryShare = 2
	// minConns is the least bound.
	minConns = 16
)

// MaxConns returns how many connections of callers an instance with so many megabytes of memory and so many descriptors can hold at a time;
// 0, without a bound, if neither is known. An instance for which 0 is given has no bound of that kind.
func MaxConns(memoryMB, descriptors int) int {
	n := 0
	if memoryMB > 0 {
		n = memoryMB << 20 / connMemoryShare / connBytes
	}
	if descriptors > 0 {
		sockets := max(minConns, (descriptors-reservedFiles)/callerShare)
		if n == 0 || sockets < n {
			n = sockets
		}
	}
	if n == 0 {
		return 0
	}
	return max(minConns, n)
}
