package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// warmUpDuration is the time before the first event. No event starts in the cooldownDuration at the end of a run.
	warmUpDuration   = 3 * time.Second
	cooldownDuration = 14 * time.Second

	// meanEventInterval is the mean time between the starts of two events.
	meanEventInterval = 1500 * time.Millisecond

	// DefaultStatementTimeout is the time-out that most plans set for a statement.
	DefaultStatementTimeout = 3 * time.Second

	// maxEventDuration bounds the duration of an event.
	maxEventDuration = 6 * time.Second

	// workspaceCount is the number of workspaces of the plans that have any: more than the connections to a member.
	workspaceCount = 30

	// withdrawalInterval is the interval at which keys are withdrawn.
	withdrawalInterval = 5 * time.Second

	// quotaCount is the number of workspaces with a quota in the plans that have any. At each quotaInterval, callers of the next
	// one exceed its quota for quotaDuration. A workspace's turn comes again when its buckets are full.
	quotaCount    = 6
	quotaInterval = 2500 * time.Millisecond
	quotaDuration = 5 * time.Second
)

// Kind is a kind of fault or of planned work.
type Kind string

// The kinds.
const (
	KindKillProxy              Kind = "kill-proxy"
	KindPauseProxy             Kind = "pause-proxy"
	KindStopProxy              Kind = "stop-proxy"
	KindHangupProxy            Kind = "hangup-proxy"
	KindKillAllProxies         Kind = "kill-all-proxies"
	KindStoreDown              Kind = "store-down"
	KindStoreRefusesProxy      Kind = "store-refuses-proxy"
	KindStoreSilentToProxy     Kind = "store-silent-to-proxy"
	KindStoreSlow              Kind = "store-slow"
	KindStoreLosesAnswers      Kind = "store-loses-answers"
	KindStoreWritesLate        Kind = "store-writes-late"
	KindStoreForgets           Kind = "store-forgets"
	KindCrashPrimary           Kind = "crash-primary"
	KindCrashMember            Kind = "crash-member"
	KindEraseMember            Kind = "erase-member"
	KindCutPrimary             Kind = "cut-primary"
	KindCutPrimaryFromSome     Kind = "cut-primary-from-some"
	KindCutPrimaryOneWay       Kind = "cut-primary-one-way"
	KindCutPrimaryFromMembers  Kind = "cut-primary-from-members"
	KindResetMembers           Kind = "reset-members"
	KindDelayMembers           Kind = "delay-members"
	KindDrainMember            Kind = "drain-member"
	KindDrainPrimary           Kind = "drain-primary"
	KindChangeConfig           Kind = "change-configuration"
	KindWriteInvalidEntries    Kind = "write-broken-entries"
	KindMemberLosesAnswers     Kind = "member-loses-answers"
	KindMemberFailsSome        Kind = "member-fails-some"
	KindSlowMember             Kind = "slow-member"
	KindReplicaReceivesNothing Kind = "replica-receives-nothing"
	KindMisbehavingCallers     Kind = "rude-callers"
	KindStoreRestored          Kind = "store-restored"
	KindRollProxies            Kind = "roll-proxies"
	KindWithdrawKey            Kind = "withdraw-key"
	KindExceedQuota            Kind = "exceed-quota"
)

// plannedKinds are the kinds of planned work, during which no request may be lost.
var plannedKinds = []Kind{KindStopProxy, KindHangupProxy, KindDrainMember, KindDrainPrimary, KindChangeConfig}

// faultKinds are the kinds of faults.
var faultKinds = []Kind{
	KindKillProxy, KindPauseProxy, KindKillAllProxies, KindStoreDown, KindStoreRefusesProxy, KindStoreSilentToProxy, KindStoreSlow, KindStoreLosesAnswers,
	KindStoreWritesLate, KindStoreForgets, KindCrashPrimary, KindCrashMember, KindEraseMember, KindCutPrimary, KindCutPrimaryFromSome, KindCutPrimaryOneWay, KindCutPrimaryFromMembers,
	KindResetMembers, KindDelayMembers, KindWriteInvalidEntries, KindMemberLosesAnswers, KindMemberFailsSome, KindSlowMember, KindReplicaReceivesNothing, KindMisbehavingCallers,
}

// Kinds returns all kinds of planned work and faults.
func Kinds() []Kind {
	return append(slices.Concat(plannedKinds, faultKinds), KindStoreRestored, KindRollProxies, KindWithdrawKey, KindExceedQuota)
}

// Event is a fault or a piece of planned work in a plan.
type Event struct {
	// At is the time since the start of the run at which the event starts. Duration is how long it lasts.
	At       time.Duration `json:"at" yaml:"at"`
	Duration time.Duration `json:"for" yaml:"for"`

	Kind Kind `json:"kind" yaml:"kind"`

	// Target selects a proxy, a member or a service, as an index modulo their number.
	Target int `json:"target" yaml:"target"`
}

// Plan is the schedule of events of a run.
type Plan struct {
	// Seed is the seed that the plan was generated from. It also seeds the callers.
	Seed uint64 `json:"seed"`

	// Duration is the duration of the run, with the warm-up and the cool-down.
	Duration time.Duration `json:"length"`

	// SyncReplicas is the number of replicas that commits wait for.
	SyncReplicas int `json:"synchronous"`

	// StatementTimeout is the time-out that the routes set for a statement.
	StatementTimeout time.Duration `json:"statement-timeout"`

	// LongStatementRate is the ratio of statements that take LongStatementCost longer than others, from 0 to 1.
	LongStatementRate float64       `json:"long-statement-rate"`
	LongStatementCost time.Duration `json:"long-statement-cost"`

	// LongTransactionRate is the ratio of transactions with many statements and long pauses, from 0 to 1.
	LongTransactionRate float64 `json:"long-transaction-rate"`

	// Workspaces is the number of workspaces in the configuration, each with a key. Zero stands for a configuration without.
	Workspaces int `json:"workspaces"`

	// Quotas is the number of workspaces with a quota.
	Quotas int `json:"quotas"`

	// Events are sorted by start time.
	Events []Event `json:"events"`
}

// NewPlan generates the plan of a seed. Every fourth seed has planned work only, every third has a synchronous
// replica, and in one of five that have faults, the store is restored from an older copy. Three of seven have workspaces, and
// withdraw keys if they have faults; one of seven has quotas if it has faults, which callers exceed. If kinds are given, the plan has no others.
func NewPlan(seed uint64, duration time.Duration, only ...Kind) *Plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := &Plan{
		Seed:             seed,
		Duration:         duration,
		StatementTimeout: DefaultStatementTimeout,
	}
	if seed%3 == 0 {
		p.SyncReplicas = 1
	}
	kinds := slices.Concat(plannedKinds, faultKinds)
	if seed%4 == 0 {
		kinds = plannedKinds
	}
	if len(only) > 0 {
		kinds = only
		if others := slices.DeleteFunc(slices.Clone(only), func(k Kind) bool { return k == KindExceedQuota }); len(others) > 0 {
			kinds = others
		}
	}
	// One kind is more frequent than the others, as repeated faults often have a common cause.
	frequent := kinds[r.IntN(len(kinds))]
	for at := warmUpDuration; at < duration-cooldownDuration; {
		k := kinds[r.IntN(len(kinds))]
		if r.IntN(4) == 0 {
			k = frequent
		}
		p.Events = append(p.Events, Event{
			At:       at,
			Duration: min(time.Duration(r.ExpFloat64()*float64(2*time.Second))+200*time.Millisecond, maxEventDuration),
			Kind:     k,
			Target:   r.IntN(1 << 16),
		})
		at += time.Duration(r.ExpFloat64() * float64(meanEventInterval))
	}
	if seed%5 == 3 && seed%4 != 0 && len(only) == 0 {
		p.addRestore()
	}
	if len(only) == 0 && seed%7%2 == 1 || slices.Contains(only, KindWithdrawKey) {
		p.Workspaces = workspaceCount
	}
	if len(only) == 0 && seed%7 == 5 && seed%4 != 0 || slices.Contains(only, KindExceedQuota) {
		p.Workspaces, p.Quotas = workspaceCount, quotaCount
		p.addQuotas()
	}
	if p.Workspaces > 0 && seed%4 != 0 && len(only) == 0 {
		p.addWithdrawals()
	}
	return p
}

// NewRollingPlan generates a plan of rolling restarts of all proxies that overlap, with hang-ups, changes of the configuration
// and, in every fourth seed, replaced members. Some statements take long, and some transactions stay open.
func NewRollingPlan(seed uint64, duration time.Duration) *Plan {
	r := rand.New(rand.NewPCG(seed, 3))
	timeouts := []time.Duration{DefaultStatementTimeout / 3, DefaultStatementTimeout, 3 * DefaultStatementTimeout}
	p := &Plan{
		Seed:                seed,
		Duration:            duration,
		StatementTimeout:    timeouts[r.IntN(len(timeouts))],
		LongTransactionRate: 0.3,
	}
	if r.IntN(3) > 0 {
		p.LongStatementRate = 0.01
		p.LongStatementCost = p.StatementTimeout / 10 * time.Duration(2+r.IntN(7))
	}
	kinds := []Kind{KindRollProxies, KindRollProxies, KindStopProxy, KindHangupProxy, KindChangeConfig}
	if seed%4 == 0 {
		kinds = append(kinds, KindDrainMember, KindDrainPrimary)
	}
	for at := warmUpDuration; at < duration-cooldownDuration; {
		p.Events = append(p.Events, Event{
			At:       at,
			Duration: time.Second + time.Duration(r.Int64N(int64(2*maxEventDuration))),
			Kind:     kinds[r.IntN(len(kinds))],
			Target:   r.IntN(1 << 16),
		})
		at += time.Duration(r.ExpFloat64() * float64(meanEventInterval))
	}
	return p
}

// addRestore adds a restore of the store to a plan with other events. A proxy that holds services is killed a few seconds
// before, so that the copy names another holder, and the restored store doesn't answer to a proxy at first. The restore has
// its own sequence of random numbers, so that plans of seeds without one stay the same.
func (p *Plan) addRestore() {
	r := rand.New(rand.NewPCG(p.Seed, 2))
	random := func(limit time.Duration) time.Duration { return time.Duration(r.Int64N(int64(limit))) }
	const maxOutage = 2500 * time.Millisecond
	first, last := warmUpDuration+minCopyAge, p.Duration-cooldownDuration-maxOutage
	if last <= first {
		return
	}
	restore := Event{
		At:       first + random(last-first),
		Duration: maxOutage/5 + random(maxOutage*4/5),
		Kind:     KindStoreRestored,
		Target:   r.IntN(1 << 16),
	}
	p.Events = append(p.Events, Event{
		At:       restore.At - time.Second - random(minCopyAge-time.Second),
		Duration: time.Second,
		Kind:     KindKillProxy,
		Target:   2 * r.IntN(1<<15),
	}, restore, Event{
		At:       restore.At + restore.Duration,
		Duration: time.Second + random(4*time.Second),
		Kind:     KindStoreSilentToProxy,
		Target:   r.IntN(1 << 16),
	})
	slices.SortStableFunc(p.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}

// addWithdrawals adds withdrawn keys to a plan with other events. Like the restore, they have their own sequence of random
// numbers.
func (p *Plan) addWithdrawals() {
	r := rand.New(rand.NewPCG(p.Seed, 4))
	for at := warmUpDuration; at < p.Duration-cooldownDuration; at += withdrawalInterval {
		p.Events = append(p.Events, Event{
			At:       at,
			Duration: time.Second + time.Duration(r.Int64N(int64(2*time.Second))),
			Kind:     KindWithdrawKey,
			Target:   r.IntN(1 << 16),
		})
	}
	slices.SortStableFunc(p.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}

// addQuotas adds callers that exceed the quotas of the workspaces, one workspace after the other.
func (p *Plan) addQuotas() {
	for i, at := 0, warmUpDuration; at < p.Duration-cooldownDuration; i, at = i+1, at+quotaInterval {
		p.Events = append(p.Events, Event{
			At:       at,
			Duration: quotaDuration,
			Kind:     KindExceedQuota,
			Target:   i,
		})
	}
	slices.SortStableFunc(p.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}
