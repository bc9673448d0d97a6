package incident

import "fmt"

// Cause is the reason for the end of a request.
type Cause int

// The causes.
const (
	// CauseNone: the request was served.
	CauseNone Cause = iota
	// CauseTooLate: the expected wait was beyond the admission deadline of the route.
	CauseTooLate
	// CauseNoServer: the pool had no server that takes requests.
	CauseNoServer
	// CauseFull: the attempted servers refused the request.
	CauseFull
	// CauseOverLimit: the client account was over its allotment.
	CauseOverLimit
	// CauseNodeUnready: the node had no configuration, was stopping or had no memory.
	CauseNodeUnready
	// CauseDenied: no route or key matched, or the request could not be read.
	CauseDenied
	// CauseServerLeft: the server that ran the request was leaving or removed from the list.
	CauseServerLeft
	// CauseServerBroke: the server's response broke off or could not be used.
	CauseServerBroke
	// CauseTimeUp: the timeout of the caller or the route expired.
	CauseTimeUp
	// CauseCallerLeft: the caller closed its connection.
	CauseCallerLeft
	// CauseServerFailed: the server responded with an error of its own.
	CauseServerFailed
	// CauseQuarantined: a part of the request's prompt crashes backend servers.
	CauseQuarantined
	// CauseLimited: the pool's servers were at the limits that they named.
	CauseLimited
)

// String returns the cause's name.
func (cause Cause) String() string {
	switch cause {
	case CauseNone:
		return "served"
	case CauseTooLate:
		return "tooLate"
	case CauseNoServer:
		return "noServer"
	case CauseFull:
		return "full"
	case CauseOverLimit:
		return "overLimit"
	case CauseNodeUnready:
		return "nodeUnready"
	case CauseDenied:
		return "denied"
	case CauseServerLeft:
		return "serverLeft"
	case CauseServerBroke:
		return "serverBroke"
	case CauseTimeUp:
		return "timeUp"
	case CauseCallerLeft:
		return "callerLeft"
	case CauseServerFailed:
		return "serverFailed"
	case CauseQuarantined:
		return "quarantined"
	case CauseLimited:
		return "limited"
	default:
		return fmt.Sprintf("Cause(%d)", int(cause))
	}
}
