package lane

import (
	"context"
	"testing"
	"time"

	"egretlane.example/egret"
)

// statusControl answers each request for a state with the same state.
type statusControl struct {
	egret.MemberControl
	state egret.MemberState
}

func (c *statusControl) Status(context.Context, egret.Member) (egret.MemberState, error) {
	return c.state, nil
}

func TestReplicaInUseKeepsSamplingItsPrimary(t *testing.T) {
	l := &lane{
		manager: &Manager{
			Control: &statusControl{
				state: egret.MemberState{
					Role: egret.RolePrimary,
					Received: egret.Position{
						Term:   1,
						Offset: 9,
					},
				},
			},
		},
	}
	// Replies to callers have just brought the replica's own state.
	l.state.SampledAt = time.Now()
	l.samplePrimary(context.Background(), egret.Member{
		Name: "member-1",
	})
	if _, found := l.ages.newestCovered(egret.Position{
		Term:   1,
		Offset: 9,
	}); !found {
		t.Error("no sample of the primary was taken, so that the replica's age is unknown")
	}
}
