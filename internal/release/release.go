// Package release keeps streams at the software version that began them.
//
// Servers of several versions may serve side by side in one pool, and what two versions
// write doesn't fit together. A node remembers in Streams which release began each stream
// that may be resumed, and nodes tell each other while a pool has several releases.
// History holds which releases served lately: where there was only one, every stream
// began there, and nothing needs to be remembered.
//
//	request r-1 began at v1, taken up while v1 and v2 serve     -> goes on at v1
//	request r-2 isn't known, only v2 has served for 20 s        -> goes on at v2
//	request r-3 isn't known, v1 was last seen 3 s ago           -> refused as not run
package release

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/backend"
)

// ID identifies a software version of the servers of one pool. Zero is none.
type ID uint64

// New returns the release of the pool with the version.
func New(pool, version string) ID { return hashOf(pool, version) }

// Listed returns the release of the server according to its entry. A server whose version
// isn't known is a release of its own, as nothing shows that another one writes the same.
func Listed(server *backend.Server) ID {
	if server.Software() == "" {
		return hashOf(server.Pool(), "", server.Key())
	}
	return New(server.Pool(), server.Software())
}

// Of returns the release of the server as it serves now. A server that may have started
// again since the list was read is a release of its own.
func Of(server *backend.Server) ID {
	if doubted := server.DoubtedAt(); doubted != 0 {
		return hashOf(server.Pool(), "", server.Key(), strconv.FormatInt(int64(doubted), 10))
	}
	return Listed(server)
}

// PoolID identifies a pool among nodes.
type PoolID uint64

// NewPoolID returns the id of the pool with the name.
func NewPoolID(name string) PoolID { return PoolID(xxhash.Sum64String(name)) }

func hashOf(fields ...string) ID {
	digest := xxhash.New()
	for _, field := range fields {
		// xxhash returns no errors.
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0})
	}
	return ID(max(1, digest.Sum64()))
}
