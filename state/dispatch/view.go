package dispatch

import "maps"

// View returns a scheduler that decides as this one does until the latter changes. Decisions, which record endpoints that they see
// for the first time, leave no trace in this one. Nothing may be recorded in the view.
func (s *Scheduler) View() *Scheduler {
	view := *s
	view.endpoints = maps.Clone(s.endpoints)
	return &view
}
