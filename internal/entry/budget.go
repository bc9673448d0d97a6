package entry

import (
	"expvar"
	"net"
	"net/http"

	"sapphirehead/internal/caller/callerlink"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/keys"
)

// The shares of the process's memory and file descriptors for what callers and operators
// may make it hold, as those of an edge node.
const (
	connectionMemoryShare = 0.2
	bodyMemoryShare       = 0.25
	sideMemoryShare       = 0.01
	callerDescriptorShare = 0.6
	// connectionBytes and secureConnectionBytes are the memory of a connection whose
	// request is in progress: buffers of net/http, stacks, and the records of TLS.
	connectionBytes       = 16 << 10
	secureConnectionBytes = 48 << 10
)

const (
	// headerTimeout and idleTimeout end unused connections of callers.
	headerTimeout = 15 * clock.Second
	idleTimeout   = 120 * clock.Second
	// maxHeaderBytes bounds the head of a caller's request.
	maxHeaderBytes = 64 << 10
	// writeTimeout is how long a caller may leave a part of a response unread.
	writeTimeout = 10 * clock.Second
	// leftoverTimeout is how long a caller whose request was refused may take to send its
	// body, until its connection is closed.
	leftoverTimeout = 500 * clock.Millisecond
)

// callerLimits returns the limits of callers' connections.
func (entry *Entry) callerLimits() callerlink.Limits {
	limits := entry.settings.Limits()
	bytes := connectionBytes
	if entry.listenerKeys.caller != nil {
		bytes = secureConnectionBytes
	}
	memory := float64(limits.MemoryBytes())
	connections := min(callerDescriptorShare*float64(limits.Descriptors()), connectionMemoryShare*memory/float64(bytes))
	return callerlink.NewLimits(int(connections), int64(limits.HeadShare()*memory), writeTimeout)
}

// operatorLimits returns the limits of operators' connections.
func (entry *Entry) operatorLimits() callerlink.Limits {
	limits := entry.settings.Limits()
	return callerlink.NewLimits(limits.SideConnections(), int64(sideMemoryShare*float64(limits.MemoryBytes())), callerlink.OperatorTimeout)
}

// newGuards makes the guards of the listeners for callers and operators.
func (entry *Entry) newGuards() {
	uncontrolled := new(expvar.Map).Init()
	entry.counters.Set("uncontrolledClients", uncontrolled)
	guard := func(purpose string, limits func() callerlink.Limits, loaded *keys.Keys) *callerlink.Guard {
		tally := callerlink.NewTally(entry.clock, entry.log, purpose, uncontrolled)
		created := callerlink.NewGuard(entry.clock, limits, tally.Record)
		if loaded != nil {
			return created.WithTLS()
		}
		return created
	}
	entry.guards.caller = guard("caller", entry.callerLimits, entry.listenerKeys.caller)
	entry.guards.operator = guard("operator", entry.operatorLimits, entry.listenerKeys.operator)
	entry.bodies = callerlink.NewBodyMemory(entry.clock,
		func() int64 { return int64(bodyMemoryShare * float64(entry.settings.Limits().MemoryBytes())) },
		entry.settings.Limits().BodyRate, callerlink.NewTally(entry.clock, entry.log, "caller", uncontrolled).Record)
}

// guards bound the connections of the listeners.
type guards struct {
	caller   *callerlink.Guard
	operator *callerlink.Guard
}

// guarded returns the listener with its connections bounded by the guard.
func guarded(guard *callerlink.Guard, listener net.Listener) net.Listener {
	if listener == nil {
		return nil
	}
	return guard.Listener(listener)
}

// newCallerServer returns the server for callers.
func (entry *Entry) newCallerServer() *http.Server {
	return &http.Server{
		Handler:  closeWhileStopping(entry.stopping.Load, callerlink.WithLeftoverTimeout(leftoverTimeout, entry.callerHandler())),
		ErrorLog: entry.handshakeLogger("caller"), ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration(),
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// newOperatorServer returns the server for operators.
func (entry *Entry) newOperatorServer() *http.Server {
	server := callerlink.NewOperatorServer(entry.operatorHandler())
	server.ErrorLog = entry.handshakeLogger("operator")
	return server
}
