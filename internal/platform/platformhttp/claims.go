package platformhttp

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/service"
)

// Claims are stored as objects of this form:
//
//	{"epoch": 86460481,
//	 "claims": {"9f86d081884c7d659a2feaa0c55ad015":
//	   {"nonce": "req-41c0", "holder": "entry-a/1729209600000", "fingerprint": "60303ae22b998861",
//	    "atMillis": 1729209621000, "state": "taken"}}}
//
// An object of undated keys has no epoch. Its field forgotten holds the digests of
// expired keys, of 8 bytes each and in ascending order, encoded as base64:
//
//	{"claims": {}, "forgotten": "n4bQgYhMfWU="}

// Names of the states of a claim.
const (
	stateNameTaken    = "taken"
	stateNameReleased = "released"
	stateNameRecorded = "recorded"
	stateNameNotKept  = "notKept"
)

type claimForm struct {
	Nonce       string `json:"nonce"`
	Holder      string `json:"holder,omitempty"`
	Fingerprint string `json:"fingerprint,omitempty"`
	AtMillis    int64  `json:"atMillis"`
	State       string `json:"state"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

type shardForm struct {
	Epoch     int64                `json:"epoch,omitempty"`
	Claims    map[string]claimForm `json:"claims"`
	Forgotten string               `json:"forgotten,omitempty"`
}

// LoadShard reads one object of claims. An object that does not exist yields an
// empty shard at platform.VersionNone.
func LoadShard(ctx context.Context, store *platform.Store, name string) (service.Shard, int64, error) {
	object, err := store.Get(ctx, platform.KindClaims, name)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return service.NewShard(0, nil, nil), platform.VersionNone, nil
	}
	if err != nil {
		return service.Shard{}, 0, err
	}
	claims, err := DecodeShard(object.Body())
	return claims, object.Version(), err
}

// CommitShard writes one object of claims under the condition and returns the
// new version.
func CommitShard(ctx context.Context, store *platform.Store, name string, claims service.Shard, condition int64) (int64, error) {
	body, err := EncodeShard(claims)
	if err != nil {
		return 0, err
	}
	return store.Put(ctx, platform.KindClaims, name, body, condition)
}

// DecodeShard decodes the stored form of a shard.
func DecodeShard(body []byte) (service.Shard, error) {
	var form shardForm
	if err := json.Unmarshal(body, &form); err != nil {
		return service.Shard{}, errors.Wrap(err, "decode claims")
	}
	claims := make(map[string]service.Claim, len(form.Claims))
	for id, stored := range form.Claims {
		claim, err := stored.claim()
		if err != nil {
			return service.Shard{}, err
		}
		claims[id] = claim
	}
	forgotten, err := decodeForgotten(form.Forgotten)
	return service.NewShard(form.Epoch, claims, forgotten), err
}

func (form claimForm) claim() (service.Claim, error) {
	claim := service.NewClaim(form.Nonce, form.Holder, form.Fingerprint, clock.Millis(form.AtMillis))
	switch form.State {
	case stateNameTaken:
		return claim, nil
	case stateNameReleased:
		return claim.WithState(service.StateReleased), nil
	case stateNameNotKept:
		return claim.WithState(service.StateNotKept), nil
	case stateNameRecorded:
		return claim.WithAnswer(service.NewAnswer(form.Status, form.ContentType, form.Body)), nil
	default:
		return service.Claim{}, errors.Errorf("decode claims: unknown state %q", form.State)
	}
}

func decodeForgotten(text string) ([]uint64, error) {
	bytes, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(bytes)%8 != 0 {
		return nil, errors.Errorf("decode claims: digests of forgotten keys have %d bytes: allowed is base64 of a multiple of 8", len(bytes))
	}
	var forgotten []uint64
	for ; len(bytes) > 0; bytes = bytes[8:] {
		forgotten = append(forgotten, binary.BigEndian.Uint64(bytes))
	}
	return forgotten, nil
}

// EncodeShard encodes the stored form of a shard.
func EncodeShard(shard service.Shard) ([]byte, error) {
	form := shardForm{Epoch: shard.Epoch(), Claims: make(map[string]claimForm, len(shard.Claims()))}
	for id, claim := range shard.Claims() {
		form.Claims[id] = claimFormOf(claim)
	}
	var forgotten []byte
	for _, digest := range shard.Forgotten() {
		forgotten = binary.BigEndian.AppendUint64(forgotten, digest)
	}
	form.Forgotten = base64.StdEncoding.EncodeToString(forgotten)
	body, err := json.Marshal(form)
	return body, errors.Wrap(err, "encode claims")
}

func claimFormOf(claim service.Claim) claimForm {
	form := claimForm{
		Nonce: claim.Nonce(), Holder: claim.Holder(), Fingerprint: claim.Fingerprint(), AtMillis: int64(claim.TakenAt()),
		State: stateNameTaken,
	}
	switch claim.State() {
	case service.StateReleased:
		form.State = stateNameReleased
	case service.StateNotKept:
		form.State = stateNameNotKept
	case service.StateRecorded:
		answer := claim.Answer()
		form.State, form.Status, form.ContentType, form.Body = stateNameRecorded, answer.Status(), answer.ContentType(), answer.Body()
	case service.StateTaken:
	}
	return form
}
