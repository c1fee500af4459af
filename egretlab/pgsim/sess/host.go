package sess

import (
	"time"

	"egretlane.example/egret/egretlab/pgsim/plat"
	"egretlane.example/egret/egretlab/pgsim/stats"
)

// Host is what the sessions of a member share.
type Host struct {
	// Platform answers the platform's functions, and has the member.
	Platform plat.Platform

	// Stats records statements.
	Stats *stats.Recorder

	// Cost is how long each statement takes while it holds its slot.
	Cost time.Duration
}
