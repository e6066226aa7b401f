package emulator

import (
	"container/heap"
	"time"
)

// Clock runs events in the order of their times, and those of one time in the order in which they were planned. It is not
// safe for concurrent use.
type Clock struct {
	Now    time.Time
	queue  eventQueue
	number int
}

type event struct {
	at     time.Time
	number int
	do     func()
}

// After plans do for a time from now on.
func (c *Clock) After(d time.Duration, do func()) {
	c.number++
	heap.Push(&c.queue, event{c.Now.Add(max(0, d)), c.number, do})
}

// Run runs the events until end, and those that they plan.
func (c *Clock) Run(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.Now = e.at
		e.do()
	}
	c.Now = end
}

// eventQueue is a heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].number < q[j].number
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
