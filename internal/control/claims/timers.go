package claims

import (
	"container/heap"
	"time"
)

// noPartition marks a timer that belongs to a task.
const noPartition = -1

// timer asks to look at a partition or a task at an instant. It may be out of
// date when it fires: whatever it points to knows what is due.
type timer struct {
	at        time.Time
	partition int
	task      taskID
}

// timers is a heap, the earliest first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
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

// NextTick gives the instant at which the machine wants a Tick; zero: never.
func (m *Machine) NextTick() time.Time {
	if len(m.timers) == 0 {
		return time.Time{}
	}
	return m.timers[0].at
}

func (m *Machine) fireTimers() {
	for len(m.timers) > 0 && !m.timers[0].at.After(m.now) {
		due := heap.Pop(&m.timers).(timer)
		if due.partition == noPartition {
			m.taskDue(due.task)
			continue
		}
		p := m.partitions[due.partition]
		p.wakeAt = time.Time{}
		m.advance(p)
	}
}
