package emulator

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with an event queue. Events run in order of time; events with equal times run in the order in
// which they were scheduled. It is not safe for concurrent use.
type Clock struct {
	Now   time.Time
	queue eventQueue
	seq   int
}

type event struct {
	at  time.Time
	seq int
	fn  func()
}

// After schedules fn to run after d of virtual time. A negative d counts as 0.
func (c *Clock) After(d time.Duration, fn func()) {
	c.seq++
	heap.Push(&c.queue, event{c.Now.Add(max(0, d)), c.seq, fn})
}

// RunUntil runs all events that are due by end, including those that they schedule, and then sets Now to end.
func (c *Clock) RunUntil(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.Now = e.at
		e.fn()
	}
	c.Now = end
}

// eventQueue is a priority queue of events. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
