package messenger

// KeptAssignments returns the number of assignments that m keeps.
func KeptAssignments(m *Messenger) int { return len(m.assignments.first) + len(m.assignments.earlier) }
