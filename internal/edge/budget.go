package edge

import (
	"net"
	"net/http"

	"sapphirehead/internal/caller/callerlink"
	"sapphirehead/internal/clock"
)

// The budget of a node: the shares of the process's memory and file descriptors for what
// others may make it hold. docs/DESIGN.md has the same table. The heads' share is the
// setting limits.headShare, whose maximum counts here.
const (
	// connectionMemoryShare is for the goroutines and buffers of callers' connections, at
	// connectionBytes each.
	connectionMemoryShare = 0.2
	// maxHeadMemoryShare is for the heads of callers' requests.
	maxHeadMemoryShare = 0.15
	// bodyMemoryShare is for the bodies of callers' requests.
	bodyMemoryShare = 0.25
	// responseMemoryShare is for the responses of all requests in progress.
	responseMemoryShare = 0.2
	// sideMemoryShare is for the heads at each of the readiness and metrics addresses.
	sideMemoryShare = 0.01
	// runtimeMemoryShare is for the program, its state, and the connections to others.
	runtimeMemoryShare = 0.17

	// callerDescriptorShare is for callers' connections.
	callerDescriptorShare = 0.6
	// serverDescriptorShare is for connections to backend servers, and thereby bounds the
	// requests that are forwarded at once.
	serverDescriptorShare = 0.3
	// sideDescriptorShare is for the connections to each of the readiness and metrics
	// addresses.
	sideDescriptorShare = 0.02
	// ownDescriptorShare is for the store, the cloud, peers, listeners and files.
	ownDescriptorShare = 0.05

	// connectionBytes is the memory of a connection whose request is in progress: the
	// buffers of net/http for both directions (8 KiB), stacks, and the small body that each
	// request may hold.
	connectionBytes = 16 << 10
	// sideHeadBytes bounds the head of a request at the readiness and metrics addresses.
	sideHeadBytes = 16 << 10
)

// callerLimits returns the limits of callers' connections.
func (edge *Edge) callerLimits() callerlink.Limits {
	settings := edge.settings.Load()
	memory := float64(settings.MemoryBytes())
	connections := min(callerDescriptorShare*float64(settings.Descriptors()), connectionMemoryShare*memory/connectionBytes)
	return callerlink.NewLimits(int(connections), int64(settings.HeadShare()*memory), writeTimeout)
}

// sideLimits returns the limits of the connections to the readiness or metrics address.
func (edge *Edge) sideLimits() callerlink.Limits {
	settings := edge.settings.Load()
	connections := min(float64(settings.SideConnections()), sideDescriptorShare*float64(settings.Descriptors()))
	return callerlink.NewLimits(int(connections), int64(sideMemoryShare*float64(settings.MemoryBytes())), sideTimeout)
}

// serverConnections returns the number of connections to backend servers.
func (edge *Edge) serverConnections() int64 {
	return int64(serverDescriptorShare * float64(edge.settings.Load().Descriptors()))
}

// sideTimeout bounds the reading of a request and the writing of its response at the
// readiness and metrics addresses.
const sideTimeout = 5 * clock.Second

// sideServer returns the server of the readiness or metrics address, and the function that
// serves until it is closed.
func (edge *Edge) sideServer(purpose string, handler http.Handler, listener net.Listener) (*http.Server, func() error) {
	guard := callerlink.NewGuard(edge.clock, edge.sideLimits, edge.reportUncontrolled(purpose))
	server := callerlink.NewSideServer(handler, sideHeadBytes, sideTimeout)
	return server, func() error { return ignoreClosed(guard.Serve(server, guard.Listener(listener))) }
}

// reportUncontrolled returns the function that counts and logs what a listener ended.
func (edge *Edge) reportUncontrolled(purpose string) func(kind callerlink.Kind, remote string) {
	return callerlink.NewTally(edge.clock, edge.log, purpose, edge.counters.uncontrolled).Record
}

// beginForward counts a request that is forwarded, or refuses it if there is no descriptor
// for its connection to a server.
func (requestContext *requestContext) beginForward() bool {
	edge := requestContext.edge
	if edge.forwarding.Add(1) <= edge.serverConnections() {
		return true
	}
	edge.forwarding.Add(-1)
	requestContext.refuse("too many requests are in progress at this node", shortRetryAfter)
	return false
}
