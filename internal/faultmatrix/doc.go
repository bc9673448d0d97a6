// Package faultmatrix checks the invariants of the system under every fault at
// every step, and under every pair of faults.
//
// A simulation in one process holds three entry hosts, two stewards, four
// runners, two application services and the platform; each round boots one more
// entry host. The entry hosts are the decision side of the system, built by the
// constructors that sapphire-entry uses. The simulation implements their
// function fields: connections, calls between nodes, the object API and the
// cloud's notices. Time is virtual.
//
// The scenario runs through every step twice. In the first round the faults of
// the cell are injected at the cell's step and last until the round ends. In the
// second round nothing fails, and everything has to work again:
//
//	cell "store down/claim"
//	round 1: boot, edit, spread, renew, order, a booking is about to be
//	         claimed -> the store goes down -> ... chats, hand-over
//	the faults end, the nodes converge
//	round 2: the same without faults
//
// The oracle counts the runs of each request and key and compares them with the
// responses that callers received. The simulation also checks that the version
// of a node's tables never falls, that leaving hosts get no new work, and that
// only the lease holder sends orders.
package faultmatrix
