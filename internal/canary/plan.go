package canary

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Use says which servers of a pool an attempt may use.
type Use int

const (
	// UseAny allows all servers.
	UseAny Use = iota
	// UseOthers allows all but the versions that are held back.
	UseOthers
	// UseCanary allows the ordered version only, at a limited number of its servers. The
	// attempt has used up a credit.
	UseCanary
	// UsePromoted allows the ordered version only.
	UsePromoted
)

// String returns the use for logs.
func (use Use) String() string {
	return [...]string{"any", "others", "canary", "promoted"}[use]
}

// Plan says which servers an attempt may use. It is immutable.
type Plan struct {
	use     Use
	version string
	servers int
	// heldBack are the versions that must not be used.
	heldBack []string
	exposure *exposure
}

// Use returns which kind of servers the attempt may use.
func (plan Plan) Use() Use { return plan.use }

// IsCanary reports whether the attempt is a canary request.
func (plan Plan) IsCanary() bool { return plan.use == UseCanary }

// Version returns the ordered version if only that one may be used, or "".
func (plan Plan) Version() string { return plan.version }

// Servers returns the number of servers to which canary requests are limited, so that
// each gets about the load of another server, or 0 for all. These are the ones with the
// lowest ServerRank among those of the version that can be used.
func (plan Plan) Servers() int { return plan.servers }

// Allows reports whether servers of the version may be used.
func (plan Plan) Allows(version string) bool {
	switch plan.use {
	case UseCanary, UsePromoted:
		return version == plan.version
	case UseOthers:
		return !slices.Contains(plan.heldBack, version)
	default:
		return true
	}
}

// ServerRank orders the servers of a version the same at all nodes.
func ServerRank(server string) uint64 { return xxhash.Sum64String(server) }
