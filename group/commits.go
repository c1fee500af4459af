package group

// hasCommits reports whether the log of the reporting member has every acknowledged commit, or need not. With synchronous
// replicas, a commit is in the logs of the primary and of as many replicas as the operator has set, whether these drain or
// not, so that one of any members has it if too few others are left.
func (l *Lane) hasCommits(candidate statusReport, reports []statusReport) bool {
	l.mu.Lock()
	required, complete := l.syncReplicas, l.historyComplete
	newest := l.history.Newest()
	unseen := len(l.members)
	l.mu.Unlock()
	if required == 0 || complete && candidate.status.Received.Reaches(newest) {
		return true
	}
	for _, r := range reports {
		if r.err != nil {
			continue
		}
		if !candidate.status.Received.Reaches(r.status.Received) {
			return false
		}
		unseen--
	}
	return unseen <= required
}

// primaryReports reports whether the primary is among the members that answer.
func (l *Lane) primaryReports(reports []statusReport) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		if r.err == nil && r.id == l.primary {
			return true
		}
	}
	return false
}
