package node

import "github.com/cespare/xxhash/v2"

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

// NewLoanToHash returns a loan of requests to the node on the host with the hash.
func NewLoanToHash(borrower uint64, requests float64) Loan {
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
