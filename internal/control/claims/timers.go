package claims

import (
	"container/heap"
	"time"
)

// noPartition is the partition of a task's timer.
const noPartition = -1

// timer requests to check a partition or a task at a time. It is not cancelled when
// it is no longer needed: the check finds out what is due.
type timer struct {
	at        time.Time
	partition int
	task      taskID
}

// timerHeap has the earliest timer first.
type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timerHeap) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (m *Machine) wakeTask(t *task, at time.Time) {
	heap.Push(&m.timers, timer{
		at:        at,
		partition: noPartition,
		task:      t.id(),
	})
}

func (m *Machine) wakePartition(p *partition, at time.Time) {
	if p.wakeAt.Equal(at) {
		return
	}
	p.wakeAt = at
	heap.Push(&m.timers, timer{
		at:        at,
		partition: p.index,
	})
}

// NextTick returns the time at which the machine needs a Tick; zero: none.
func (m *Machine) NextTick() time.Time {
	if len(m.timers) == 0 {
		return time.Time{}
	}
	return m.timers[0].at
}

func (m *Machine) runDueTimers() {
	for len(m.timers) > 0 && !m.timers[0].at.After(m.now) {
		fired := heap.Pop(&m.timers).(timer)
		if fired.partition == noPartition {
			m.onTaskTimer(fired.task)
			continue
		}
		p := m.partitions[fired.partition]
		p.wakeAt = time.Time{}
		m.advance(p)
	}
}
