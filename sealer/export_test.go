package sealer

// Peers returns the number of peers of which state is kept.
func (s *Sealer) Peers() int { return len(s.peers) }
