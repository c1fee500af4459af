package lane

import "egretlane.example/egret/member"

// dialer returns a dialer for the database of the member's pool.
func (l *lane) dialer() *member.Dialer {
	l.mu.Lock()
	database := l.settings.pool.Database
	l.mu.Unlock()
	if database == "" {
		return l.manager.Dialer
	}
	d := *l.manager.Dialer
	d.Database = database
	return &d
}
