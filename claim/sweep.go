package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/eiderspring/eiderspring/store"
)

// Sweep deletes the claims that were made more than horizon ago, and returns
// how many. A key is remembered for the horizon; a request that comes later
// with it is a new one, so callers must not retry for longer.
func Sweep(ctx context.Context, c store.Client, now time.Time, horizon time.Duration) (int, error) {
	list, err := c.List(ctx, store.KindClaim)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, o := range list.Items {
		var r Record
		if err := json.Unmarshal(o.Spec, &r); err != nil || now.Sub(r.At) < horizon {
			continue
		}
		if err := c.Delete(ctx, store.KindClaim, o.Metadata.Name); err != nil && !store.IsNotFound(err) {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}
