package platformhttp

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/service"
	"sapphirehead/internal/table"
	"sapphirehead/internal/table/tablecodec"
)

// LoadTables reads the tables object and the object's version, which is the
// condition of the next write. The tables' own version lies in the body, so
// that it keeps rising even if the platform restores an older object. An
// object that does not exist yields empty tables at platform.VersionNone.
func LoadTables(ctx context.Context, store *platform.Store) (*table.Tables, int64, error) {
	object, err := store.Get(ctx, platform.KindTables, platform.TablesName)
	return tablesOf(object, err)
}

// WatchTables waits until the object's version differs from the given one.
func WatchTables(ctx context.Context, store *platform.Store, after int64) (*table.Tables, int64, error) {
	object, err := store.Watch(ctx, platform.KindTables, platform.TablesName, after)
	return tablesOf(object, err)
}

func tablesOf(object platform.Object, err error) (*table.Tables, int64, error) {
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return table.Empty(), platform.VersionNone, nil
	}
	if err != nil {
		return nil, 0, err
	}
	tables, err := tablecodec.DecodeJSON(object.Body())
	return tables, object.Version(), err
}

// CommitTables writes the tables object under the condition. Tables that the
// object can't hold are refused with a *table.CheckError.
func CommitTables(ctx context.Context, store *platform.Store, tables *table.Tables, condition int64) error {
	body, err := tablecodec.EncodeJSON(tables)
	if err != nil {
		return err
	}
	if len(body) > maxObjectBytes {
		return table.NewCheckError([]table.Problem{table.NewProblem("tables", "rows", fmt.Sprintf("both tables have %d bytes: allowed are %d or fewer", len(body), maxObjectBytes))})
	}
	_, err = store.Put(ctx, platform.KindTables, platform.TablesName, body, condition)
	return err
}

type claimForm struct {
	Nonce       string `json:"nonce"`
	AtMillis    int64  `json:"atMillis"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        string `json:"body,omitempty"`
}

type shardForm struct {
	Claims map[string]claimForm `json:"claims"`
}

func shardName(shard int) string { return "shard-" + strconv.Itoa(shard) }

// LoadShard reads one object of claims.
func LoadShard(ctx context.Context, store *platform.Store, shard int) (service.Shard, int64, error) {
	object, err := store.Get(ctx, platform.KindClaims, shardName(shard))
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return service.NewShard(nil), platform.VersionNone, nil
	}
	if err != nil {
		return service.Shard{}, 0, err
	}
	claims, err := DecodeShard(object.Body())
	return claims, object.Version(), err
}

// CommitShard writes one object of claims under the condition.
func CommitShard(ctx context.Context, store *platform.Store, shard int, claims service.Shard, condition int64) error {
	body, err := EncodeShard(claims)
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, platform.KindClaims, shardName(shard), body, condition)
	return err
}

// DecodeShard reads the stored form of a shard.
func DecodeShard(body []byte) (service.Shard, error) {
	var form shardForm
	if err := json.Unmarshal(body, &form); err != nil {
		return service.Shard{}, errors.Wrap(err, "decode claims")
	}
	claims := make(map[string]service.Claim, len(form.Claims))
	for name, stored := range form.Claims {
		claim := service.NewClaim(stored.Nonce, clock.Millis(stored.AtMillis))
		if stored.Status != 0 {
			answer, err := base64.StdEncoding.DecodeString(stored.Body)
			if err != nil {
				return service.Shard{}, errors.Wrap(err, "decode recorded answer")
			}
			claim = claim.WithAnswer(service.NewAnswer(stored.Status, stored.ContentType, answer))
		}
		claims[name] = claim
	}
	return service.NewShard(claims), nil
}

// EncodeShard writes the stored form of a shard.
func EncodeShard(shard service.Shard) ([]byte, error) {
	form := shardForm{Claims: make(map[string]claimForm, len(shard.Claims()))}
	for name, claim := range shard.Claims() {
		stored := claimForm{Nonce: claim.Nonce(), AtMillis: int64(claim.At())}
		if answer, ok := claim.Recorded(); ok {
			stored.Status = answer.Status()
			stored.ContentType = answer.ContentType()
			stored.Body = base64.StdEncoding.EncodeToString(answer.Body())
		}
		form.Claims[name] = stored
	}
	body, err := json.Marshal(form)
	return body, errors.Wrap(err, "encode claims")
}
