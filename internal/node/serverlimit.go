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
	wants     bool
	loan      Loan
}

// Loan is what a node lends to a peer from its allowance at a server with a limit. It is
// given up with the bulletin that contains it, and lost with it.
type Loan struct {
	borrower uint64
	requests float64
}

// NewLoan returns a loan of requests to the node on the host.
func NewLoan(host string, requests float64) Loan {
	return Loan{borrower: xxhash.Sum64String(host), requests: requests}
}

// RestoreLoan returns a loan to the host with the hash.
func RestoreLoan(borrower uint64, requests float64) Loan {
	return Loan{borrower: borrower, requests: requests}
}

// Borrower returns the hash of the borrower's host.
func (loan Loan) Borrower() uint64 { return loan.borrower }

// Requests returns the number of requests, 0 if nothing is lent.
func (loan Loan) Requests() float64 { return loan.requests }

// To returns the requests that are lent to the node on the host.
func (loan Loan) To(host string) float64 {
	if loan.borrower != xxhash.Sum64String(host) {
		return 0
	}
	return loan.requests
}

// NewServerLimit returns the latest statement of the server with the hash of its key,
// its age, and the requests that the node has sent to it under limits since its start.
func NewServerLimit(server uint64, statement backend.Statement, age clock.Millis, sent int64) ServerLimit {
	return ServerLimit{server: server, statement: statement, age: age, sent: sent}
}

// WithWants returns a copy of the limit of a node that borrows from its peers.
func (limit ServerLimit) WithWants() ServerLimit {
	limit.wants = true
	return limit
}

// WithLoan returns a copy with what the node lends.
func (limit ServerLimit) WithLoan(loan Loan) ServerLimit {
	limit.loan = loan
	return limit
}

// Wants reports whether the node borrows from its peers.
func (limit ServerLimit) Wants() bool { return limit.wants }

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
