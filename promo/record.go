package promo

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// Limits of writing a promotion record to the store.
const (
	recordTimeout    = 10 * time.Second
	recordAttempts   = 5
	recordRetryDelay = 500 * time.Millisecond
)

// PromotionRecord is the record of a group's last promotion in the store. It is for operators:
// proxies read it only to keep the term from falling.
type PromotionRecord struct {
	// Term is the primary's term. It never falls.
	Term uint64 `json:"term"`

	// Primary names the member that leads in Term.
	Primary string `json:"primary"`

	// Node is the ID of the proxy that promoted it.
	Node string `json:"node"`
}

// recordPromotion writes a promotion to the store in the background.
func (w *Watcher) recordPromotion(current egret.GroupPrimary) {
	if w.Store == nil {
		return
	}
	r := PromotionRecord{
		Term:    current.Term,
		Primary: current.Primary,
		Node:    w.Peers.Self().ID,
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		for range recordAttempts {
			if w.writeRecord(ctx, w.StorePrefix+current.Group, r) == nil || !sleep(ctx, w.jitter(recordRetryDelay)) {
				return
			}
		}
	}()
}

// writeRecord replaces a record of a lower term.
func (w *Watcher) writeRecord(ctx context.Context, key string, r PromotionRecord) error {
	v, err := w.Store.Get(ctx, key)
	if err != nil {
		return errors.Annotatef(err, "key %s", key)
	}
	old := PromotionRecord{}
	if len(v.Data) > 0 && json.Unmarshal(v.Data, &old) == nil && old.Term >= r.Term {
		return nil
	}
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = w.Store.CompareAndSwap(ctx, key, v.Revision, data, 0)
	return errors.Annotatef(err, "key %s", key)
}
