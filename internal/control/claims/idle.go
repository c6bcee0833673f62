package claims

// Idle tells whether nothing waits to be written or answered: a host that stops
// then leaves no finish behind, and the repeat of a request that it answered
// gets that answer.
func (m *Machine) Idle() bool {
	return len(m.tasks) == 0
}
