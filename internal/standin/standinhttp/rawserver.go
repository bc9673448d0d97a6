package standinhttp

import (
	"net"
	"sync"
)

// RawServer accepts connections on loopback for a stand-in that writes its own bytes. It
// serves until Close.
type RawServer struct {
	listener net.Listener
	serve    func(conn *net.TCPConn)
	done     sync.WaitGroup
	mutex    sync.Mutex
	open     map[net.Conn]bool
	closed   bool
}

// NewRawServer returns a server that calls serve in a goroutine for each connection, and
// closes the connection when serve returns.
func NewRawServer(serve func(conn *net.TCPConn)) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &RawServer{listener: listener, serve: serve, open: map[net.Conn]bool{}}
	server.done.Go(server.accept)
	return server, nil
}

// Address returns the server's host and port.
func (server *RawServer) Address() string { return server.listener.Addr().String() }

// Close ends all connections, and returns when all calls of serve have.
func (server *RawServer) Close() {
	server.listener.Close()
	server.mutex.Lock()
	server.closed = true
	for conn := range server.open {
		conn.Close()
	}
	server.mutex.Unlock()
	server.done.Wait()
}

func (server *RawServer) accept() {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		if !server.track(conn) {
			return
		}
		server.done.Go(func() {
			defer server.untrack(conn)
			server.serve(conn.(*net.TCPConn))
		})
	}
}

func (server *RawServer) track(conn net.Conn) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closed {
		conn.Close()
		return false
	}
	server.open[conn] = true
	return true
}

func (server *RawServer) untrack(conn net.Conn) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.open, conn)
	conn.Close()
}
