package incident

import "fmt"

// Cause is why a request ended as it did.
type Cause int

// The causes.
const (
	// CauseNone: the request was served.
	CauseNone Cause = iota
	// CauseTooLate: the expected wait was longer than callers of the route have use for.
	CauseTooLate
	// CauseNoServer: the pool had no server that takes requests.
	CauseNoServer
	// CauseFull: the servers that were asked refused.
	CauseFull
	// CauseOverLimit: the client account was over its allotment.
	CauseOverLimit
	// CauseNodeUnready: the node had no configuration, was stopping or had no memory.
	CauseNodeUnready
	// CauseDenied: no route or key matched, or the request could not be read.
	CauseDenied
	// CauseServerLeft: the server that ran the request left or went from the list.
	CauseServerLeft
	// CauseServerBroke: the server broke off or its answer could not be used.
	CauseServerBroke
	// CauseTimeUp: the time that the caller or the route gave was over.
	CauseTimeUp
	// CauseCallerLeft: the caller left.
	CauseCallerLeft
	// CauseServerFailed: the server answered with a failure of its own.
	CauseServerFailed
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
	default:
		return fmt.Sprintf("Cause(%d)", int(cause))
	}
}
