package nodeslope

import (
	"context"
	"net"
	"strconv"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node/nodelink"
	"sapphirehead/internal/node/nodepb"
)

// Port connects one node to the others.
type Port struct {
	address   string
	call      func(ctx context.Context, address string, call *nodepb.Call) (*nodepb.Reply, error)
	closeIdle func()
	traffic   func() Traffic
	close     func()
}

// Traffic is the number of bytes that a node has sent and received, and of its
// writes to links.
type Traffic struct {
	sent     int64
	received int64
	writes   int64
}

// Loopback is a network of real TCP links over loopback.
type Loopback struct {
	clock *clock.Clock
}

// NewLoopback returns a loopback network.
func NewLoopback(clock *clock.Clock) *Loopback { return &Loopback{clock: clock} }

// Join listens for a node that handles calls with the handler.
func (loopback *Loopback) Join(handler nodelink.Handler) (*Port, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	links := nodelink.New(loopback.clock, nodelink.DialTCP, handler)
	served := make(chan struct{})
	go func() {
		_ = links.Serve(listener)
		close(served)
	}()
	return &Port{
		address:   listener.Addr().String(),
		call:      links.Call,
		closeIdle: links.CloseIdle,
		traffic: func() Traffic {
			return Traffic{sent: links.Traffic().Sent(), received: links.Traffic().Received(), writes: links.Traffic().Writes()}
		},
		close: func() {
			listener.Close()
			links.Close()
			<-served
		},
	}, nil
}

const (
	// memoryLatency is the one-way latency between two nodes.
	memoryLatency = clock.Millisecond
	// memoryTimeout is the time after which a partitioned call fails.
	memoryTimeout = 2 * clock.Second
)

// Memory is a network that delivers encoded messages in memory, with a latency
// on its clock, so that whole clusters run in virtual time. It can simulate
// partitions.
type Memory struct {
	clock       *clock.Clock
	mutex       sync.Mutex
	next        int
	handlers    map[string]nodelink.Handler
	partitioned func(from, to string, call *nodepb.Call) bool
}

// NewMemory returns an in-memory network without partitions.
func NewMemory(clock *clock.Clock) *Memory {
	return &Memory{clock: clock, handlers: map[string]nodelink.Handler{}, partitioned: func(string, string, *nodepb.Call) bool { return false }}
}

// Partition makes the calls time out for which partitioned returns true.
func (memory *Memory) Partition(partitioned func(from, to string, call *nodepb.Call) bool) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.partitioned = partitioned
}

// Join adds a node that handles calls with the handler.
func (memory *Memory) Join(handler nodelink.Handler) (*Port, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.next++
	address := "10.0.0.1:" + strconv.Itoa(10_000+memory.next)
	memory.handlers[address] = handler
	var mutex sync.Mutex
	var traffic Traffic
	return &Port{
		address: address,
		call: func(ctx context.Context, to string, call *nodepb.Call) (*nodepb.Reply, error) {
			reply, sent, received, err := memory.deliver(ctx, address, to, call)
			mutex.Lock()
			defer mutex.Unlock()
			traffic.sent += sent
			traffic.received += received
			return reply, err
		},
		closeIdle: func() {},
		traffic: func() Traffic {
			mutex.Lock()
			defer mutex.Unlock()
			return traffic
		},
		close: func() { memory.remove(address) },
	}, nil
}

func (memory *Memory) remove(address string) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	delete(memory.handlers, address)
}

// deliver encodes, delivers and decodes one call and its reply. sent and
// received are their sizes in bytes.
func (memory *Memory) deliver(ctx context.Context, from, to string, call *nodepb.Call) (reply *nodepb.Reply, sent, received int64, err error) {
	memory.mutex.Lock()
	handler, ok := memory.handlers[to]
	partitioned := memory.partitioned(from, to, call)
	memory.mutex.Unlock()
	if partitioned {
		memory.clock.Wait(ctx, memoryTimeout)
		return nil, 0, 0, errors.Errorf("call to %s timed out", to)
	}
	if err := memory.clock.Wait(ctx, memoryLatency); err != nil {
		return nil, 0, 0, err
	}
	if !ok {
		return nil, 0, 0, errors.Errorf("no node listens at %s", to)
	}
	message, err := proto.Marshal(call)
	if err != nil {
		return nil, 0, 0, err
	}
	var arrived nodepb.Call
	if err := proto.Unmarshal(message, &arrived); err != nil {
		return nil, 0, 0, err
	}
	answered, err := proto.Marshal(handler(&arrived))
	if err != nil {
		return nil, 0, 0, err
	}
	if err := memory.clock.Wait(ctx, memoryLatency); err != nil {
		return nil, 0, 0, err
	}
	reply = &nodepb.Reply{}
	return reply, int64(len(message)), int64(len(answered)), proto.Unmarshal(answered, reply)
}
