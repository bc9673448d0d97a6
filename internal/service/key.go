package service

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/clock"
)

// Layout of the claims in objects. These values are part of the stored format:
// nodes with different ones would look for the same key in different objects.
const (
	// BucketWidth is the span of creation times in one bucket, whose keys share the
	// same objects.
	BucketWidth = 20 * clock.Second
	// RingBuckets is the number of buckets after which object names repeat. They
	// cover more than the window and twice the margin for clocks, MaxAhead.
	RingBuckets = 4590
	// DatedShards is the number of objects of one bucket.
	DatedShards = 16
	// UndatedShards is the number of objects for keys without a creation time.
	UndatedShards = 256
)

// Place is the location of a claim: an object and the bucket of creation times.
// Undated keys have epoch 0.
type Place struct {
	object string
	epoch  int64
}

// NewPlace returns the place in the object for the bucket.
func NewPlace(object string, epoch int64) Place { return Place{object: object, epoch: epoch} }

// Object returns the name of the object.
func (place Place) Object() string { return place.object }

// Epoch returns the number of the bucket, or 0 for undated keys.
func (place Place) Epoch() int64 { return place.epoch }

// Key is a caller's idempotency key within its client account.
//
// A UUID of version 7 contains its creation time. Such a dated key has exactly one
// place, which follows from account and key alone:
//
//	account "garage", key 01929b7c-5e00-7000-8000-000000000001
//	created at 1729185472 s -> epoch 86459273 -> object "dated-2033-2"
//
// Any other key is undated and stored in an object chosen by its hash.
type Key struct {
	id      string
	created clock.Millis
	dated   bool
	place   Place
}

// NewKey returns the key of the client account. Its id is a digest, so that the
// text may have any length.
func NewKey(account, text string) Key {
	digest := sha256.Sum256([]byte(account + "\x00" + text))
	key := Key{id: hex.EncodeToString(digest[:16])}
	key.created, key.dated = creationTime(text)
	if key.dated {
		epoch := int64(key.created / BucketWidth)
		slot := strconv.FormatInt(epoch%RingBuckets, 10)
		key.place = NewPlace("dated-"+slot+"-"+key.shard(DatedShards), epoch)
		return key
	}
	key.place = NewPlace("undated-"+key.shard(UndatedShards), 0)
	return key
}

func (key Key) shard(count uint64) string {
	return strconv.FormatUint(xxhash.Sum64String(key.id)%count, 10)
}

// ID returns the digest of account and key.
func (key Key) ID() string { return key.id }

// Place returns the location of the claim.
func (key Key) Place() Place { return key.place }

// Created returns the creation time, and false for an undated key.
func (key Key) Created() (clock.Millis, bool) { return key.created, key.dated }

// creationTime returns the creation time in a UUID of version 7 in canonical form,
// and false for any other text.
func creationTime(text string) (clock.Millis, bool) {
	const length = 36
	if len(text) != length || text[8] != '-' || text[13] != '-' || text[18] != '-' || text[23] != '-' {
		return 0, false
	}
	bytes, err := hex.DecodeString(text[:8] + text[9:13] + text[14:18] + text[19:23] + text[24:])
	if err != nil || bytes[6]>>4 != 7 || bytes[8]>>6 != 2 {
		return 0, false
	}
	millis := int64(0)
	for _, value := range bytes[:6] {
		millis = millis<<8 | int64(value)
	}
	return clock.Millis(millis), true
}

// FingerprintOf returns a short digest of a call. A repeat of a key with another
// fingerprint is a different call.
func FingerprintOf(method, path string, body []byte) string {
	digest := sha256.New()
	digest.Write([]byte(method + "\x00" + path + "\x00"))
	digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil)[:8])
}
