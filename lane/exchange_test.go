package lane

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretlane.example/egret"
)

func TestOutcomes(t *testing.T) {
	tests := []struct {
		name     string
		readOnly bool
		batches  []string
		answer   string
		outcome  egret.Outcome
		reason   egret.Reason
	}{
		{name: "read", readOnly: true, batches: []string{"SELECT 7"}, answer: "7 done"},
		{name: "write", batches: []string{"INSERT 7"}, answer: "done"},
		{name: "refused", batches: []string{"FAIL 23505"}, answer: "error:23505"},
		{name: "read cut", readOnly: true, batches: []string{"SELECT cut"}, outcome: egret.OutcomeUnknown, reason: egret.ReasonMemberUnreachable},
		{name: "write cut", batches: []string{"INSERT cut"}, outcome: egret.OutcomeUnknown, reason: egret.ReasonMemberUnreachable},
		{name: "write cut in transaction", batches: []string{"BEGIN", "INSERT cut"}, outcome: egret.OutcomeUnknown, reason: egret.ReasonMemberUnreachable},
		{name: "write in read", readOnly: true, batches: []string{"INSERT 7"}, outcome: egret.OutcomeNotRun, reason: egret.ReasonReadOnly},
		{name: "rolled back", batches: []string{"FAIL 40000"}, outcome: egret.OutcomeNotRun, reason: egret.ReasonNotPrimary},
		{name: "rolled back later", batches: []string{"BEGIN", "FAIL 40000"}, answer: "error:40000"},
		{name: "rolled back behind a write", batches: []string{"INSERT 7; FAIL 40000"}, answer: "done error:40000"},
		{name: "member full", batches: []string{"FAIL 53300"}, outcome: egret.OutcomeNotRun, reason: egret.ReasonMemberRefused},
		{name: "member refuses", batches: []string{"FAIL 57P03"}, outcome: egret.OutcomeNotRun, reason: egret.ReasonMemberRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestbed(t)
			m, _ := b.startProxy("proxy-1")
			batches := []egret.Batch{}
			for _, q := range tt.batches {
				batches = append(batches, simple(q))
			}
			answer, _, err := transact(t, m, optionsFor(tt.readOnly), batches...)
			if tt.answer != "" {
				if err != nil || answer != tt.answer {
					t.Errorf("answer = %q, %v, want %q", answer, err, tt.answer)
				}
				return
			}
			f := failureOf(t, err)
			if f.Outcome != tt.outcome || f.Reason != tt.reason {
				t.Errorf("failure = %v, reason %d, want %s, reason %d", f, f.Reason, tt.outcome, tt.reason)
			}
		})
	}
}

// TestLostStateRequestAfterACommitIsUnknown loses the connection between a batch that committed and the request for the
// member's state, of which no byte is sent.
func TestLostStateRequestAfterACommitIsUnknown(t *testing.T) {
	b := newTestbed(t)
	m, _ := b.startProxy("proxy-1")
	l := b.lane(m)
	c, err := l.acquireConn(t.Context(), false)
	if err != nil {
		t.Fatal(err)
	}
	defer l.discard(c, closedAnswer)
	c.memberConn.Close()
	tx := &transaction{
		lane:    l,
		options: optionsFor(false),
	}
	e := &exchange{
		conn:       c,
		options:    tx.options,
		firstBatch: true,
		hadEffect:  true,
		wrote:      true,
		sent:       true,
		status:     egret.TxIdle,
	}
	if f := tx.fetchState(t.Context(), e); f == nil || f.Outcome != egret.OutcomeUnknown {
		t.Errorf("failure = %v, want one of unknown outcome", f)
	}
	if !e.dirty || e.mayStillRun() {
		t.Errorf("dirty = %v, may still run = %v, want true and false", e.dirty, e.mayStillRun())
	}
}

func TestOverdueStatementIsCancelledAndItsConnectionNotReused(t *testing.T) {
	b := newTestbed(t)
	m, _ := b.startProxy("proxy-1")
	o := optionsFor(false)
	transact(t, m, o, simple("SELECT 1"))
	o.Budget = 50 * time.Millisecond
	_, _, err := transact(t, m, o, simple("SELECT hang"))
	if f := failureOf(t, err); f.Outcome != egret.OutcomeNotRun {
		t.Errorf("failure = %v, want not run: the member cancelled the statement", err)
	}
	o.ReadOnly = true
	_, _, err = transact(t, m, o, simple("SELECT hang"))
	if f := failureOf(t, err); f.Outcome != egret.OutcomeUnknown {
		t.Errorf("failure of a read = %v, want unknown: the member began it", err)
	}
	answer, _, err := transact(t, m, optionsFor(false), simple("SELECT 2"))
	if err != nil || answer != "2 done" {
		t.Errorf("next answer = %q, %v, want its own", answer, err)
	}
	b.eventually("one connection for statements", func() bool {
		b.member.mu.Lock()
		defer b.member.mu.Unlock()
		n := 0
		for _, s := range b.member.sessions {
			if strings.HasSuffix(s.name, "/lane") {
				n++
			}
		}
		return n == 1
	})
}

func TestSilentConnectionIsFoundWithinTwoSeconds(t *testing.T) {
	b := newTestbed(t)
	m, _ := b.startProxy("proxy-1")
	began := time.Now()
	_, _, err := transact(t, m, optionsFor(true), simple("SELECT lost"))
	if f := failureOf(t, err); f.Outcome != egret.OutcomeUnknown || f.Reason != egret.ReasonMemberUnreachable {
		t.Errorf("failure = %v, want one of unknown outcome because of the member", f)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the silent connection was found after %v, want 2 s at most", took)
	}
	answer, _, err := transact(t, m, optionsFor(true), simple("SELECT 7"))
	if err != nil || answer != "7 done" {
		t.Errorf("next answer = %q, %v, want its own", answer, err)
	}
}

func TestUnreachedFloorSkipsTheStatement(t *testing.T) {
	batches := map[string]egret.Batch{
		"simple": simple("SELECT 7"),
		"extended": batchOf(&pgproto3.Parse{
			Query: "SELECT 7",
		}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}),
	}
	for name, batch := range batches {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			m, _ := b.startProxy("proxy-1")
			o := optionsFor(true)
			o.Floor = egret.Position{
				Term:   1,
				Offset: 9,
			}
			_, _, err := transact(t, m, o, batch)
			if f := failureOf(t, err); f.Outcome != egret.OutcomeNotRun || f.Reason != egret.ReasonFloor {
				t.Errorf("failure = %v, want not run because of the floor", err)
			}
			if len(b.member.ran) != 0 {
				t.Errorf("statements run = %q, want none", b.member.ran)
			}
			b.member.updateState(func(s *egret.MemberState) {
				s.Applied.Offset = 9
			})
			answer, done, err := transact(t, m, o, batch)
			if err != nil || !strings.HasSuffix(answer, "7 done") || done.Status != egret.TxIdle {
				t.Errorf("answer = %q, %v, want the row", answer, err)
			}
		})
	}
}

func TestStatementsAreParsedOncePerConnection(t *testing.T) {
	b := newTestbed(t)
	m, _ := b.startProxy("proxy-1")
	batch := batchOf(&pgproto3.Parse{
		Name:  "s1",
		Query: "SELECT 7",
	}, &pgproto3.Describe{
		ObjectType: 'S',
		Name:       "s2",
	}, &pgproto3.Bind{
		PreparedStatement: "s2",
	}, &pgproto3.Execute{}, &pgproto3.Close{
		ObjectType: 'S',
		Name:       "s1",
	}, &pgproto3.Sync{})
	batch.Statements = []egret.NamedStatement{{
		Name:  "s2",
		Query: "SELECT 8",
	}}
	want := "ParseComplete NoData BindComplete 8 done CloseComplete"
	for range 3 {
		answer, _, err := transact(t, m, optionsFor(true), batch)
		if err != nil || answer != want {
			t.Errorf("answer = %q, %v, want %q", answer, err, want)
		}
	}
	if got := b.member.parsed; !slices.Equal(got, []string{"s1", "s2"}) {
		t.Errorf("parsed = %q, want s1 and s2 once", got)
	}
}

func TestSkippedStatementsAreParsedLater(t *testing.T) {
	b := newTestbed(t)
	m, _ := b.startProxy("proxy-1")
	broken := batchOf(&pgproto3.Parse{
		Query: "FAIL 22012",
	}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Parse{
		Name:  "s1",
		Query: "SELECT 7",
	}, &pgproto3.Sync{})
	answer, _, err := transact(t, m, optionsFor(true), broken)
	if want := "ParseComplete BindComplete error:22012"; err != nil || answer != want {
		t.Errorf("answer = %q, %v, want %q", answer, err, want)
	}
	use := batchOf(&pgproto3.Bind{
		PreparedStatement: "s1",
	}, &pgproto3.Execute{}, &pgproto3.Sync{})
	use.Statements = []egret.NamedStatement{{
		Name:  "s1",
		Query: "SELECT 7",
	}}
	answer, _, err = transact(t, m, optionsFor(true), use)
	if want := "BindComplete 7 done"; err != nil || answer != want {
		t.Errorf("answer = %q, %v, want %q", answer, err, want)
	}
}

func TestWritesWaitForASecondMember(t *testing.T) {
	tests := []struct {
		name      string
		confirmed bool
		onAwait   func(ctx context.Context, name string, p egret.Position) (egret.MemberState, error)
	}{
		{
			name:      "one of two",
			confirmed: true,
			onAwait: func(ctx context.Context, name string, p egret.Position) (egret.MemberState, error) {
				if name == "member-2" {
					<-ctx.Done()
					return egret.MemberState{}, ctx.Err()
				}
				return received(1, p), nil
			},
		},
		{
			name: "none",
			onAwait: func(ctx context.Context, _ string, _ egret.Position) (egret.MemberState, error) {
				<-ctx.Done()
				return egret.MemberState{}, ctx.Err()
			},
		},
		{
			name: "both have granted a later term",
			onAwait: func(_ context.Context, _ string, p egret.Position) (egret.MemberState, error) {
				return received(2, p), nil
			},
		},
		{
			name: "neither has it in its log",
			onAwait: func(_ context.Context, _ string, p egret.Position) (egret.MemberState, error) {
				p.Offset--
				return received(1, p), nil
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestbed(t)
			b.control.onAwait = tt.onAwait
			m, _ := b.startProxy("proxy-1")
			o := optionsFor(false)
			o.ConfirmTimeout = 200 * time.Millisecond
			answer, _, err := transact(t, m, o, simple("BEGIN"), simple("INSERT 7"), simple("COMMIT"))
			if tt.confirmed {
				if err != nil || answer != "done" {
					t.Errorf("answer = %q, %v, want done", answer, err)
				}
				return
			}
			f := failureOf(t, err)
			if f.Outcome != egret.OutcomeUnknown || f.Reason != egret.ReasonNotConfirmed || answer != "" {
				t.Errorf("answer = %q, %v, want none and an unknown outcome", answer, err)
			}
		})
	}
}

// A primary that was fenced and became a replica between the write and the request for its state
// may have lost the write, although the other members have received its position.
func TestWriteOfASupersededPrimaryIsNotConfirmed(t *testing.T) {
	b := newTestbed(t)
	l := &lane{
		name: "member-1",
		confirmer: &confirmer{
			ctx:     t.Context(),
			control: b.control,
		},
	}
	p := egret.Position{
		Term:   1,
		Offset: 5,
	}
	for _, s := range []egret.MemberState{
		{Member: "member-1", Role: egret.RoleReplica, GrantedTerm: 1, Received: p},
		{Member: "member-1", Role: egret.RolePrimary, GrantedTerm: 3, Received: egret.Position{Term: 3, Offset: 6}},
		{Member: "member-1", Role: egret.RoleFenced, GrantedTerm: 2, Received: p},
		{},
	} {
		if f := l.awaitConfirmation(t.Context(), s, 1, time.Second); f == nil || f.Outcome != egret.OutcomeUnknown {
			t.Errorf("awaitConfirmation(%+v) = %v, want an unknown outcome", s, f)
		}
	}
}

func TestLargeBatchAndReplyArriveComplete(t *testing.T) {
	b := newTestbed(t)
	m, _ := b.startProxy("proxy-1")
	text := strings.Repeat("sieve 2mm ", 200_000)
	for range 2 {
		answer, _, err := transact(t, m, optionsFor(true), simple("SELECT "+text))
		if err != nil || answer != text+" done" {
			t.Errorf("answer of %d bytes, %v, want %d bytes", len(answer), err, len(text))
		}
	}
	if _, _, err := transact(t, m, optionsFor(false), simple("INSERT 7; SELECT "+text)); err == nil {
		t.Error("a write's answer above the limit of held bytes was taken")
	}
}
