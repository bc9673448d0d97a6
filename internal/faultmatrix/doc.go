// Package faultmatrix proves what must always hold under every fault at every
// step, and under every two faults together.
//
// A world in one process holds four entry hosts, two stewards, four runners,
// two application services and the platform. The entry hosts are the decision
// side of the system, built by the constructors that sapphire-entry uses; what
// is behind their function fields is the world's: connections, heartbeats, the
// object API, the cloud's notices. Time is virtual.
//
// A scenario passes through every step twice. In the first round the faults of
// the cell come at the cell's step and last until the round ends; in the second
// round nothing fails, and everything has to work again:
//
//	cell "store down/claim"
//	round 1: boot, edit, spread, renew, order, a booking is about to be
//	         claimed -> the store goes down -> ... chats, hand-over
//	heal, converge
//	round 2: the same without faults
//
// The oracle is a set of counters: runs of each request and key, what each
// caller was told, the versions of the tables, the work given to hosts that
// leave, the orders of stewards.
package faultmatrix
