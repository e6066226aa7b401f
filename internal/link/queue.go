package link

import "sync"

// sendQueue holds encoded frames until the writer takes them, bounded in bytes.
type sendQueue struct {
	mu     sync.Mutex
	room   sync.Cond
	ready  sync.Cond
	frames [][]byte
	bytes  int
	closed bool
}

func (q *sendQueue) init() {
	q.room.L = &q.mu
	q.ready.L = &q.mu
}

// push adds a frame and blocks while the queue is full. It reports false when the queue is closed.
func (q *sendQueue) push(frame []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for !q.closed && q.bytes > sendQueueBytes {
		q.room.Wait()
	}
	if q.closed {
		return false
	}
	q.frames = append(q.frames, frame)
	q.bytes += len(frame)
	q.ready.Signal()
	return true
}

// take waits for frames and returns all of them. It reports false when the queue is closed.
func (q *sendQueue) take() ([][]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for !q.closed && len(q.frames) == 0 {
		q.ready.Wait()
	}
	if q.closed {
		return nil, false
	}
	frames := q.frames
	q.frames, q.bytes = nil, 0
	q.room.Broadcast()
	return frames, true
}

func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.room.Broadcast()
	q.ready.Broadcast()
}
