package service

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/clock"
)

// Where a claim is kept. These values are part of the stored form: nodes that
// differ in them would look for the same key in different objects.
const (
	// BucketWidth is the span of creation times that share the objects of one
	// bucket.
	BucketWidth = 20 * clock.Second
	// RingBuckets is the number of buckets after which object names repeat.
	// They cover the window and the margin for clocks twice.
	RingBuckets = 4590
	// DatedShards is the number of objects of one bucket.
	DatedShards = 16
	// UndatedShards is the number of objects for keys without a creation time.
	UndatedShards = 256
)

// Place says which object holds a claim, and for which bucket of creation
// times. Undated keys have epoch 0.
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
// A UUID of version 7 carries its creation time. Such a dated key has exactly
// one place, worked out from the key alone:
//
//	01929b7c-5e00-7000-8000-000000000001
//	created at 1729209621 s -> epoch 86460481 -> object "dated-2281-7"
//
// Any other key is undated and lives in an object chosen by its hash.
type Key struct {
	id      string
	created clock.Millis
	dated   bool
	place   Place
}

// NewKey returns the key of the client account. Its id is a digest, so its
// length does not matter.
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

// Place returns where the claim is kept.
func (key Key) Place() Place { return key.place }

// Created returns the creation time, and false for an undated key.
func (key Key) Created() (clock.Millis, bool) { return key.created, key.dated }

// creationTime reads the time of a UUID of version 7 in its usual form.
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

// FingerprintOf returns a short digest of what a call asks for. A key that
// returns with another fingerprint was used for another call.
func FingerprintOf(method, path string, body []byte) string {
	digest := sha256.New()
	digest.Write([]byte(method + "\x00" + path + "\x00"))
	digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil)[:8])
}
