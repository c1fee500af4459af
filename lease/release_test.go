package lease

import (
	"testing"
	"time"
)

// TestReleaseFollowsOwnWrite guards against a service without a holder: a process that stops gives up the release of its lease
// when it crosses another write of the record by the same process, such as that of its voters or of a new primary.
func TestReleaseFollowsOwnWrite(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 3)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	cl.update(func() {
		cl.changesHidden = true
		cl.beforeRelease = func() {
			if err := holder.SetPrimary(t.Context(), "b"); err != nil {
				t.Errorf("can't write the primary: %v", err)
			}
		}
	})
	holder.DisableAcquisition()
	holder.Release(t.Context(), "")
	item, err := holder.Keys.Read(t.Context(), holder.recordKey())
	if err != nil {
		t.Fatal(err)
	}
	v, err := decodeRecord(item)
	if err != nil {
		t.Fatal(err)
	}
	if !v.Record.Released || v.Record.Node != holder.Self.Node {
		t.Errorf("the service is not released: %+v", v.Record)
	}
	if v.Record.Primary != "b" {
		t.Errorf("the record has the primary %q, want the one that was written last", v.Record.Primary)
	}
}
