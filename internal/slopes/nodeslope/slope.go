package nodeslope

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"sync"
	"text/tabwriter"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
	"sapphirehead/internal/slopes/requestslope"
	"sapphirehead/internal/table"
)

const (
	// routeCount is the number of routes in the tables.
	routeCount = 200
	// settleTime is the wait before the first window, until the updates caused by
	// the start have been sent.
	settleTime = 25 * clock.Second
	// window is the length of one measurement.
	window = 15 * clock.Second
	// editInterval is the time between two edits of the second window.
	editInterval = 1500 * clock.Millisecond
	// awaitLimit bounds the wait for an update to reach all nodes.
	awaitLimit = 120 * clock.Second
	// startParallel is the number of nodes started between two pauses, once the
	// seeds have started.
	startParallel = 20
	// leavingServers is the number of servers in one data centre at the target
	// size.
	leavingServers = 740
)

// DataCentres are the data centres of the target deployment.
var DataCentres = []string{"lj-a", "lj-b", "lj-c", "lhr-a", "lhr-b"}

// Slope is the cost per node of a cluster of one size.
type Slope struct {
	nodes       int
	idle        usage
	editing     usage
	edits       int
	slowestEdit clock.Millis
	leaving     clock.Millis
	memory      int64
	watches     int64
}

// usage is the resource usage in a window, summed over all nodes except for
// maxSent.
type usage struct {
	elapsed    clock.Millis
	processor  clock.Millis
	sent       int64
	writes     int64
	maxSent    int64
	storeCalls int64
}

// Measure starts a cluster with the given number of nodes on loopback and
// measures it.
func Measure(nodes int) (*Slope, error) {
	system := clock.System()
	store := NewStore()
	cluster := NewCluster(system, NewLoopback(system).Join, store)
	defer cluster.Close()
	before, err := memory()
	if err != nil {
		return nil, err
	}
	if err := cluster.startAll(nodes); err != nil {
		return nil, err
	}
	slope := &Slope{nodes: nodes}
	if _, err := cluster.commitFirst(); err != nil {
		return nil, err
	}
	if _, ok := cluster.Await(awaitLimit, func(node *Node) bool { return len(node.Members().Live()) == nodes-1 }); !ok {
		return nil, fmt.Errorf("not all of %d nodes have all members", nodes)
	}
	system.Wait(context.Background(), settleTime)
	slope.idle, err = cluster.measure(func() { system.Wait(context.Background(), window) })
	if err != nil {
		return nil, err
	}
	slope.editing, err = cluster.measure(func() { err = cluster.editAll(slope) })
	if err != nil {
		return nil, err
	}
	after, err := memory()
	slope.memory, slope.watches = (after-before)/int64(nodes), store.Watches()
	slope.leaving = cluster.reclaim()
	return slope, err
}

// memory returns the resident memory of this process in bytes after a garbage
// collection.
func memory() (int64, error) {
	runtime.GC()
	used, err := requestslope.ReadUsage(os.Getpid())
	return used.Memory(), err
}

func (cluster *Cluster) startAll(nodes int) error {
	for i := range nodes {
		if _, err := cluster.Start(DataCentres[i%len(DataCentres)]); err != nil {
			return err
		}
		if i < seedCount || i%startParallel == 0 {
			cluster.clock.Wait(context.Background(), clock.Second)
		}
	}
	return nil
}

// commitFirst commits the initial tables, which the edits change.
func (cluster *Cluster) commitFirst() (*table.Tables, error) {
	edit := table.NewEdit("first")
	edit.SetPool(pool.New("booking", pool.KindService), 0)
	for i := range routeCount {
		name := fmt.Sprint("route-", i)
		edit.SetRoute(route.New(name, route.KindService, "booking").WithPath("/"+name), 0)
	}
	return cluster.nodes[0].Tables().Commit(context.Background(), edit)
}

// editAll commits edits every editInterval, each through another node, and
// records the longest time until an edit was active at all nodes.
func (cluster *Cluster) editAll(slope *Slope) error {
	end := cluster.clock.Now() + window
	for cluster.clock.Now() < end {
		next := cluster.clock.Now() + editInterval
		committer := cluster.nodes[slope.edits*7%len(cluster.nodes)]
		current, _ := committer.Active().Route("route-0")
		edit := table.NewEdit(fmt.Sprint("edit-", slope.edits))
		edit.SetRoute(current.WithWorth(float64(slope.edits+2)), current.Revision())
		committed, err := committer.Tables().Commit(context.Background(), edit)
		if err != nil {
			return err
		}
		slope.edits++
		elapsed, ok := cluster.Await(awaitLimit, func(node *Node) bool { return node.Active().Version() >= committed.Version() })
		if !ok {
			return fmt.Errorf("an edit was not active at all nodes after %d ms", elapsed)
		}
		slope.slowestEdit = max(slope.slowestEdit, elapsed)
		cluster.clock.Wait(context.Background(), next-cluster.clock.Now())
	}
	return nil
}

// reclaim announces leavingServers servers through nodes spread over the
// cluster, and returns the time until all nodes have received them all.
func (cluster *Cluster) reclaim() clock.Millis {
	var group sync.WaitGroup
	for i := range leavingServers {
		group.Go(func() { cluster.nodes[i*31%len(cluster.nodes)].AnnounceLeaving(fmt.Sprint("runner-lhr-a-", i)) })
	}
	group.Wait()
	elapsed, _ := cluster.Await(awaitLimit, func(node *Node) bool {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		return len(node.leaving) == leavingServers
	})
	return elapsed
}

// measure returns the nodes' usage during the work.
func (cluster *Cluster) measure(work func()) (usage, error) {
	started, before, err := cluster.traffic()
	if err != nil {
		return usage{}, err
	}
	work()
	ended, after, err := cluster.traffic()
	used := usage{
		elapsed:    ended.elapsed - started.elapsed,
		processor:  ended.processor - started.processor,
		storeCalls: ended.storeCalls - started.storeCalls,
	}
	for i := range after {
		sent := after[i].sent - before[i].sent
		used.sent += sent
		used.writes += after[i].writes - before[i].writes
		used.maxSent = max(used.maxSent, sent)
	}
	return used, err
}

func (cluster *Cluster) traffic() (usage, []Traffic, error) {
	process, err := requestslope.ReadUsage(os.Getpid())
	now := usage{elapsed: cluster.clock.Now(), processor: process.Processor(), storeCalls: cluster.store.Calls()}
	traffic := make([]Traffic, 0, len(cluster.nodes))
	for _, node := range cluster.nodes {
		traffic = append(traffic, node.Traffic())
	}
	return now, traffic, err
}

const (
	// headerBytes is the size of the IP and TCP headers of a packet, with TCP
	// timestamps.
	headerBytes = 52
	// targetEditsPerSecond is 6,500 edits a day.
	targetEditsPerSecond = 6500.0 / 86_400
)

// perSecond converts a total over all nodes to an amount per node and second.
func (slope *Slope) perSecond(amount int64, elapsed clock.Millis) float64 {
	return float64(amount) / float64(slope.nodes) * float64(clock.Second) / float64(elapsed)
}

// perEdit returns the amount that one edit adds per node.
func (slope *Slope) perEdit(idle, editing int64) float64 {
	more := slope.perSecond(editing, slope.editing.elapsed) - slope.perSecond(idle, slope.idle.elapsed)
	return more * float64(slope.editing.elapsed) / float64(clock.Second) / float64(slope.edits)
}

// wireBytes adds the packet headers to the bytes sent, assuming one packet per
// write.
func wireBytes(sent, writes int64) int64 { return sent + headerBytes*writes }

// Print prints one line for each cluster size. Bytes are those that a node
// sends; it receives as many. They include headers, except for "B/s payload"
// and "most B/s".
func Print(output io.Writer, slopes []*Slope) error {
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(writer, "nodes\tB/s idle\tB/s payload\tmost B/s\tB per edit\tB/s at 6500 a day\tcore % idle\tcore ms per edit\tmemory KB\tedit ms\t740 leaving ms\twatches\tstore calls/s\t")
	for _, slope := range slopes {
		idle, editing := slope.idle, slope.editing
		idleBytes := slope.perSecond(wireBytes(idle.sent, idle.writes), idle.elapsed)
		editBytes := slope.perEdit(wireBytes(idle.sent, idle.writes), wireBytes(editing.sent, editing.writes))
		fmt.Fprintf(writer, "%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%.1f\t\n",
			slope.nodes, idleBytes, slope.perSecond(idle.sent, idle.elapsed),
			float64(idle.maxSent)*float64(clock.Second)/float64(idle.elapsed), editBytes, idleBytes+editBytes*targetEditsPerSecond,
			100*slope.perSecond(int64(idle.processor), idle.elapsed)/float64(clock.Second),
			slope.perEdit(int64(idle.processor), int64(editing.processor)),
			slope.memory>>10, slope.slowestEdit, slope.leaving, slope.watches,
			float64(idle.storeCalls)*float64(clock.Second)/float64(idle.elapsed))
	}
	return writer.Flush()
}
