package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// warmUp is the time before the first fault, calm that after the last one.
	warmUp = 3 * time.Second
	calm   = 14 * time.Second

	// faultEvery is the mean time between two faults.
	faultEvery = 1500 * time.Millisecond

	// longestFault bounds the time from a fault to its end.
	longestFault = 6 * time.Second
)

// Kind is a kind of fault or planned work.
type Kind string

// The kinds.
const (
	KindKill        Kind = "kill-proxy"
	KindPause       Kind = "pause-proxy"
	KindStop        Kind = "stop-proxy"
	KindHangup      Kind = "hangup-proxy"
	KindKillAll     Kind = "kill-all-proxies"
	KindStoreDown   Kind = "store-down"
	KindStoreRefuse Kind = "store-refuses-proxy"
	KindStoreSilent Kind = "store-silent-to-proxy"
	KindStoreSlow   Kind = "store-slow"
	KindStoreLoses  Kind = "store-loses-answers"
	KindStoreLate   Kind = "store-writes-late"
	KindForget      Kind = "store-forgets"
	KindCrash       Kind = "crash-primary"
	KindCrashOther  Kind = "crash-member"
	KindErase       Kind = "erase-member"
	KindDark        Kind = "cut-primary"
	KindHalf        Kind = "cut-primary-from-some"
	KindOneWay      Kind = "cut-primary-one-way"
	KindIsolate     Kind = "cut-primary-from-members"
	KindReset       Kind = "reset-members"
	KindSlowLink    Kind = "delay-members"
	KindDrain       Kind = "drain-member"
	KindDrainLead   Kind = "drain-primary"
	KindConfig      Kind = "change-configuration"
	KindGarbage     Kind = "write-broken-entries"
	KindLoseAnswers Kind = "member-loses-answers"
	KindGrey        Kind = "member-fails-some"
	KindSlow        Kind = "slow-member"
	KindDeaf        Kind = "replica-receives-nothing"
	KindRude        Kind = "rude-callers"
)

// planned are the kinds after which no request may be lost.
var planned = []Kind{KindStop, KindHangup, KindDrain, KindDrainLead, KindConfig}

// unplanned are the faults.
var unplanned = []Kind{
	KindKill, KindPause, KindKillAll, KindStoreDown, KindStoreRefuse, KindStoreSilent, KindStoreSlow, KindStoreLoses,
	KindStoreLate, KindForget, KindCrash, KindCrashOther, KindErase, KindDark, KindHalf, KindOneWay, KindIsolate,
	KindReset, KindSlowLink, KindGarbage, KindLoseAnswers, KindGrey, KindSlow, KindDeaf, KindRude,
}

// Kinds returns all kinds.
func Kinds() []Kind {
	return slices.Concat(planned, unplanned)
}

// Event is something that happens during a soak.
type Event struct {
	// At is the time since the start, For how long it lasts.
	At  time.Duration `json:"at" yaml:"at"`
	For time.Duration `json:"for" yaml:"for"`

	Kind Kind `json:"kind" yaml:"kind"`

	// Target chooses a proxy, a member or a service: the index is its remainder.
	Target int `json:"target" yaml:"target"`
}

// Plan is what happens during a soak.
type Plan struct {
	// Seed is what the plan was made from. It also seeds the callers.
	Seed uint64 `json:"seed"`

	// Length is the time of the whole soak. Its last part is calm.
	Length time.Duration `json:"length"`

	// Synchronous is the number of replicas that commits wait for.
	Synchronous int `json:"synchronous"`

	// Events are ordered by time.
	Events []Event `json:"events"`
}

// NewPlan returns the plan of a seed. Every fourth seed has planned work only, and every third has
// synchronous replicas. If kinds are given, the plan has no others.
func NewPlan(seed uint64, length time.Duration, only ...Kind) *Plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := &Plan{
		Seed:   seed,
		Length: length,
	}
	if seed%3 == 0 {
		p.Synchronous = 1
	}
	kinds := Kinds()
	if seed%4 == 0 {
		kinds = planned
	}
	if len(only) > 0 {
		kinds = only
	}
	// Some kinds come in series, as they do when trouble has one cause.
	favourite := kinds[r.IntN(len(kinds))]
	for at := warmUp; at < length-calm; {
		k := kinds[r.IntN(len(kinds))]
		if r.IntN(4) == 0 {
			k = favourite
		}
		p.Events = append(p.Events, Event{
			At:     at,
			For:    min(time.Duration(r.ExpFloat64()*float64(2*time.Second))+200*time.Millisecond, longestFault),
			Kind:   k,
			Target: r.IntN(1 << 16),
		})
		at += time.Duration(r.ExpFloat64() * float64(faultEvery))
	}
	return p
}
