package quota

import (
	"math"
	"time"

	"egretlane.example/egret/clock"
)

const (
	// loanInterval is the least time between two requests for tokens of a service. relaxedInterval is that between
	// requests that are not urgent: no operation was refused, and none is expected to be within urgentSpan.
	loanInterval    = 100 * time.Millisecond
	relaxedInterval = 500 * time.Millisecond
	urgentSpan      = 500 * time.Millisecond

	// maxAskDelay is the longest back-off of a bucket that is lent nothing.
	maxAskDelay = time.Second

	// lowSpan and targetSpan are the times of demand that a bucket asks below, and that it asks for, beside one token.
	// Buckets that ask earlier or for more take tokens from each other in vain: with half a token more, the workspaces of
	// 1.75 operations per second were refused twice as often.
	lowSpan    = 300 * time.Millisecond
	targetSpan = time.Second

	// keepSpan is the time within which a lender keeps a token for an operation that it expects.
	keepSpan = 5 * time.Second

	// minLoan is the least amount that is lent or asked for.
	minLoan = 0.05
)

// Amount is a number of tokens of a workspace.
type Amount struct {
	Workspace string
	Tokens    float64
}

// Loan is a request for tokens to the holder of another service.
type Loan struct {
	// Lender is the index of the service whose buckets lend, among the other services.
	Lender int

	// Wanted are the amounts, with at most one entry for each workspace.
	Wanted []Amount
}

// borrower plans the loans of a ledger.
type borrower struct {
	// open has the wanted amounts of the loan that is not settled yet.
	open []Amount

	// askFrom is when the next loan may be asked for.
	askFrom clock.Time

	// relaxedFrom is when it may be asked for although no bucket is expected to refuse an operation soon.
	relaxedFrom clock.Time

	// next counts the lenders that were asked in vain, and so selects the next one.
	next int
}

// Plan returns the next loan to ask one of a number of lenders for, and whether there is one. Room is kept for its tokens until
// Settle is called, so that late tokens don't come on top of those that the bucket has got meanwhile.
func (l *Ledger) Plan(now clock.Time, lenders int) (Loan, bool) {
	if len(l.borrower.open) > 0 || now < l.borrower.askFrom || lenders <= 0 {
		return Loan{}, false
	}
	loan := Loan{
		Lender: l.borrower.next % lenders,
	}
	urgent := now >= l.borrower.relaxedFrom
	for _, name := range l.names() {
		b := l.buckets[name]
		if now < b.askFrom {
			continue
		}
		b.fill(now)
		if wanted := b.wanted(now); wanted >= minLoan {
			urgent = urgent || b.refused || b.recentDemand(now)*urgentSpan.Seconds() > max(0.5, b.level)
			loan.Wanted = append(loan.Wanted, Amount{
				Workspace: name,
				Tokens:    wanted,
			})
		}
	}
	if len(loan.Wanted) == 0 || !urgent {
		return Loan{}, false
	}
	for _, w := range loan.Wanted {
		b := l.buckets[w.Workspace]
		b.pending, b.refused = w.Tokens, false
	}
	l.borrower.relaxedFrom = now.Add(relaxedInterval)
	l.borrower.open = loan.Wanted
	l.borrower.askFrom = now.Add(loanInterval)
	return loan, true
}

// wanted returns how many tokens the bucket has to borrow. A bucket without demand borrows none.
func (b *bucket) wanted(now clock.Time) float64 {
	demand := b.recentDemand(now)
	low := min(b.share.depth, 1+demand*lowSpan.Seconds())
	if b.level >= low-tolerance || demand*keepSpan.Seconds() < minLoan {
		return 0
	}
	return min(b.share.depth, 1+demand*targetSpan.Seconds()) - b.level
}

// Settle ends the open loan with what was lent, or with nothing if the answer was lost. It returns how many tokens were
// added.
func (l *Ledger) Settle(now clock.Time, lent []Amount) float64 {
	amounts := map[string]float64{}
	for _, a := range lent {
		amounts[a.Workspace] = a.Tokens
	}
	wanted, added := 0.0, 0.0
	for _, w := range l.borrower.open {
		b := l.buckets[w.Workspace]
		if b == nil {
			continue
		}
		b.fill(now)
		got := 0.0
		if n := amounts[w.Workspace]; n > 0 {
			got = min(n, b.pending, max(0, b.share.depth-b.level))
		}
		b.pending = 0
		b.level += got
		b.backOff(now, got > 0)
		wanted += w.Tokens
		added += got
	}
	if added < wanted/2 {
		l.borrower.next++
	}
	l.borrower.open = nil
	return added
}

// backOff sets when the bucket may ask again.
func (b *bucket) backOff(now clock.Time, lent bool) {
	b.askDelay = min(maxAskDelay, max(loanInterval, 2*b.askDelay))
	if lent {
		b.askDelay = 0
	}
	b.askFrom = now.Add(b.askDelay)
}

// Lend takes tokens from the buckets for another service and returns how many it took, without zeros. It leaves what the
// service expects to need itself.
func (l *Ledger) Lend(now clock.Time, wanted []Amount) []Amount {
	lent := []Amount{}
	for _, w := range wanted {
		b := l.buckets[w.Workspace]
		if b == nil || !b.limited || b.removedAt != 0 || !(w.Tokens > 0) || math.IsInf(w.Tokens, 1) {
			continue
		}
		b.fill(now)
		demand := b.recentDemand(now)
		kept := min(1, demand*keepSpan.Seconds()) + demand*lowSpan.Seconds()
		n := min(w.Tokens, b.level-kept)
		if n < minLoan {
			continue
		}
		b.level -= n
		lent = append(lent, Amount{
			Workspace: w.Workspace,
			Tokens:    n,
		})
	}
	return lent
}
