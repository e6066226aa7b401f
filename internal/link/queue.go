package link

import "sync"

// sendQueue is a queue of encoded frames waiting for the writer. push blocks above sendQueueBytes.
type sendQueue struct {
	mu       sync.Mutex
	notFull  sync.Cond
	notEmpty sync.Cond
	frames   [][]byte
	bytes    int
	closed   bool
}

func (q *sendQueue) init() {
	q.notFull.L = &q.mu
	q.notEmpty.L = &q.mu
}

// push adds a frame, blocking while the queue is full. It returns false if the queue is closed.
func (q *sendQueue) push(frame []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for !q.closed && q.bytes > sendQueueBytes {
		q.notFull.Wait()
	}
	if q.closed {
		return false
	}
	q.frames = append(q.frames, frame)
	q.bytes += len(frame)
	q.notEmpty.Signal()
	return true
}

// takeAll waits until the queue is not empty, then removes and returns all frames. It returns false if the queue is
// closed.
func (q *sendQueue) takeAll() ([][]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for !q.closed && len(q.frames) == 0 {
		q.notEmpty.Wait()
	}
	if q.closed {
		return nil, false
	}
	frames := q.frames
	q.frames, q.bytes = nil, 0
	q.notFull.Broadcast()
	return frames, true
}

func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notFull.Broadcast()
	q.notEmpty.Broadcast()
}
