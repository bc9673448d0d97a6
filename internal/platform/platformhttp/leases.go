package platformhttp

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
)

// leaseForm is the body of a lease object.
type leaseForm struct {
	Holder         string `json:"holder"`
	Incarnation    string `json:"incarnation"`
	Write          string `json:"write"`
	DurationMillis int64  `json:"durationMillis"`
	Era            int64  `json:"era,omitempty"`
	Released       bool   `json:"released,omitempty"`
}

// LoadLease reads a lease object. An object that does not exist yields an
// empty record at a version without a revision, and one that cannot be decoded an empty
// record, so that a challenger waits for its own lease duration.
func LoadLease(ctx context.Context, store *platform.Store, name string) (platform.LeaseRecord, int64, error) {
	object, err := store.Get(ctx, platform.KindLeases, name)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return platform.LeaseRecord{}, missing.Version(), nil
	}
	if err != nil {
		return platform.LeaseRecord{}, 0, err
	}
	var form leaseForm
	if json.Unmarshal(object.Body(), &form) != nil {
		return platform.LeaseRecord{}, object.Version(), nil
	}
	record := platform.NewLeaseRecord(form.Holder, form.Incarnation, form.Write, clock.Millis(form.DurationMillis))
	return record.InEra(form.Era).WithReleased(form.Released), object.Version(), nil
}

// CommitLease writes a lease object under the condition.
func CommitLease(ctx context.Context, store *platform.Store, name string, record platform.LeaseRecord, condition int64) (int64, error) {
	body, err := json.Marshal(leaseForm{
		Holder:         record.Holder(),
		Incarnation:    record.Incarnation(),
		Write:          record.WriteID(),
		DurationMillis: int64(record.Duration()),
		Era:            record.Era(),
		Released:       record.Released(),
	})
	if err != nil {
		return 0, errors.Wrap(err, "encode lease")
	}
	return store.Put(ctx, platform.KindLeases, name, body, condition)
}
