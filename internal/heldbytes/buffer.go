package heldbytes

// NextSize returns the size to which a full buffer grows that may become most bytes long; below 0 if that is not known. The size doubles
// with what has arrived: a peer may never send the length that it has named, and a copy of each size is garbage for some time.
func NextSize(size, most int) int {
	const first = 4 << 10
	next := max(first, 2*size)
	if most >= size {
		next = min(next, most)
	}
	return next
}
