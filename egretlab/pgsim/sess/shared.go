package sess

import (
	"time"

	"egretlane.example/egret/egretlab/pgsim/plat"
	"egretlane.example/egret/egretlab/pgsim/stats"
)

// Shared holds what all sessions of a member use.
type Shared struct {
	// Platform runs the platform's functions. It also holds the member, the slots and the faults.
	Platform plat.Platform

	// Stats records statements and transactions.
	Stats *stats.Recorder

	// StatementCost is the simulated duration of each statement. The statement holds its slot meanwhile.
	StatementCost time.Duration
}
