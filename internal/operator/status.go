package operator

import (
	"strconv"

	"sapphirehead/internal/node"
)

// Status is the report of one node to operators.
type Status struct {
	self    node.Member
	members []node.Member
	servers []ServerStatus
}

// NewStatus returns the report of a node about itself, its live peer nodes and the
// backend servers.
func NewStatus(self node.Member, members []node.Member, servers []ServerStatus) Status {
	return Status{self: self, members: members, servers: servers}
}

// Self returns the reporting node.
func (status Status) Self() node.Member { return status.self }

// Members returns the live peer nodes.
func (status Status) Members() []node.Member { return status.members }

// Servers returns the backend servers.
func (status Status) Servers() []ServerStatus { return status.servers }

// ActiveCount returns the number of live nodes whose active tables have at least the
// version, and the number of all live nodes.
func (status Status) ActiveCount(version int64) (active, total int) {
	for _, member := range append([]node.Member{status.self}, status.members...) {
		total++
		if member.TablesVersion() >= version {
			active++
		}
	}
	return active, total
}

// ServerStatus is the report about one backend server.
type ServerStatus struct {
	id         string
	address    string
	dataCentre string
	pool       string
	leaving    bool
	circuit    string
	inFlight   int64
	failures   int64
}

// NewServerStatus returns the report about a backend server.
func NewServerStatus(id, address, dataCentre, pool string, leaving bool, circuit string, inFlight, failures int64) ServerStatus {
	return ServerStatus{id: id, address: address, dataCentre: dataCentre, pool: pool, leaving: leaving, circuit: circuit, inFlight: inFlight, failures: failures}
}

// ID returns the ID of the server.
func (status ServerStatus) ID() string { return status.id }

// Address returns the server's host and port.
func (status ServerStatus) Address() string { return status.address }

// DataCentre returns the server's data centre.
func (status ServerStatus) DataCentre() string { return status.dataCentre }

// Pool returns the server's pool.
func (status ServerStatus) Pool() string { return status.pool }

// Leaving reports whether the server gets no new requests.
func (status ServerStatus) Leaving() bool { return status.leaving }

// Circuit returns the state of the reporting node's circuit breaker for the server,
// as in "closed".
func (status ServerStatus) Circuit() string { return status.circuit }

// InFlight returns the number of attempts in flight from the reporting node.
func (status ServerStatus) InFlight() int64 { return status.inFlight }

// Failures returns the number of consecutive failures.
func (status ServerStatus) Failures() int64 { return status.failures }

// NotFoundError says that an operator named something that does not exist.
type NotFoundError struct {
	kind string
	name string
}

// NewNotFoundError returns an error for the name of the kind, as in "backend
// server".
func NewNotFoundError(kind, name string) *NotFoundError {
	return &NotFoundError{kind: kind, name: name}
}

func (err *NotFoundError) Error() string {
	return "there is no " + err.kind + " " + strconv.Quote(err.name) + ": sapphirectl status lists them"
}
