package platformhttp

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"sapphirehead/internal/platform"
)

// drainsForm is the body of the object that names a pool's hosts to drain.
type drainsForm struct {
	Hosts []string `json:"hosts"`
}

// LoadDrains returns the IDs of the pool's hosts to drain, and the version of the
// object.
func LoadDrains(ctx context.Context, store *platform.Store, pool string) ([]string, int64, error) {
	object, err := store.Get(ctx, platform.KindDrains, pool)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return nil, platform.VersionNone, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var form drainsForm
	if err := json.Unmarshal(object.Body(), &form); err != nil {
		return nil, 0, errors.Wrap(err, "decode hosts to drain")
	}
	return form.Hosts, object.Version(), nil
}

// CommitDrains writes the IDs under the condition.
func CommitDrains(ctx context.Context, store *platform.Store, pool string, hosts []string, condition int64) error {
	body, err := json.Marshal(drainsForm{Hosts: hosts})
	if err != nil {
		return errors.Wrap(err, "encode hosts to drain")
	}
	_, err = store.Put(ctx, platform.KindDrains, pool, body, condition)
	return err
}
