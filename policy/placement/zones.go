package placement

// Leaving reports whether the endpoint said that it will end soon.
func (s *State) Leaving() bool {
	return s.leaving
}

// Unconfirmed reports whether the endpoint was unreachable and has not responded since.
func (s *State) Unconfirmed() bool {
	return s.failedContacts > 0
}
