package node

import (
	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/rendezvous"
)

// ServerLimit is what a node knows of the limit of a backend server.
type ServerLimit struct {
	server    uint64
	statement backend.Statement
	age       clock.Millis
	sent      int64
	borrows   bool
	loan      Loan
}

// NewServerLimit returns the latest statement of the server with the hash of its key,
// its age, and the requests that the node has sent to it under limits since its start.
func NewServerLimit(server uint64, statement backend.Statement, age clock.Millis, sent int64) ServerLimit {
	return ServerLimit{server: server, statement: statement, age: age, sent: sent}
}

// WithBorrowing returns a copy of the limit of a node that borrows from its peers.
func (limit ServerLimit) WithBorrowing() ServerLimit {
	limit.borrows = true
	return limit
}

// WithLoan returns a copy with what the node lends.
func (limit ServerLimit) WithLoan(loan Loan) ServerLimit {
	limit.loan = loan
	return limit
}

// Borrows reports whether the node borrows from its peers.
func (limit ServerLimit) Borrows() bool { return limit.borrows }

// Loan returns what the node lends.
func (limit ServerLimit) Loan() Loan { return limit.loan }

// Server returns the hash of the server's key.
func (limit ServerLimit) Server() uint64 { return limit.server }

// Statement returns the server's statement.
func (limit ServerLimit) Statement() backend.Statement { return limit.statement }

// Age returns the time from the statement to the sending of the bulletin.
func (limit ServerLimit) Age() clock.Millis { return limit.age }

// Sent returns the requests sent since the start of the sender's process.
func (limit ServerLimit) Sent() int64 { return limit.sent }

// IsAmongFirst reports whether the host is among the first count of all hosts, itself
// and the others, in the rendezvous order for the key.
func IsAmongFirst(host string, others []string, key uint64, count int) bool {
	if count > len(others) {
		return true
	}
	own, before := rendezvous.ScoreHashes(key, xxhash.Sum64String(host)), 0
	for _, other := range others {
		if rendezvous.ScoreHashes(key, xxhash.Sum64String(other)) > own {
			before++
		}
	}
	return before < count
}
