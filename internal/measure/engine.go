package measure

import (
	"container/list"
	"slices"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/runner"
)

// Parameters of the simulated model runner. A batch step takes stepBase, plus
// stepPerRequest for each request that decodes, plus prefillPerToken for each
// prompt token prefilled in it. The speed factor of the host class divides all
// three.
const (
	stepBase           = 14 * microsPerMilli
	stepPerRequest     = 1500 * micros(1)
	prefillPerToken    = 100 * micros(1)
	chunkTokens        = 256
	cacheBlocks        = 2500
	engineSlots        = 8
	loadReportInterval = 300 * microsPerMilli
	kvBytesPerToken    = 128 << 10
	eventsPerReport    = 512
)

// job is one generation at a simulated runner.
type job struct {
	call           *call
	attempt        int
	blocks         []uint64
	tailTokens     int
	prefillTokens  int
	cachedBlocks   int
	decodedTokens  int
	responseTokens int
	priority       int
	imported       bool
	dropped        bool
}

// engine is a simulated model runner with a batch, a priority queue, a prefix
// cache of limited size, and load reports that are refreshed every
// loadReportInterval.
type engine struct {
	run        *run
	id         string
	dataCentre string
	class      string
	speed      float64
	alive      bool
	leaving    bool
	busy       bool
	batch      []*job
	waiting    []*job
	cache      map[uint64]*list.Element
	lru        *list.List
	report     loadReport
	events     []runner.CacheEvent
	serial     int64
}

type loadReport struct {
	running int
	queued  int
	tokens  int
}

func newEngine(run *run, id, dataCentre, class string, speed float64) *engine {
	engine := &engine{run: run, id: id, dataCentre: dataCentre, class: class, speed: speed, alive: true, cache: map[uint64]*list.Element{}, lru: list.New()}
	engine.refreshLoad()
	return engine
}

// refreshLoad updates the load report that responses carry.
func (engine *engine) refreshLoad() {
	engine.report = loadReport{running: len(engine.batch), queued: len(engine.waiting)}
	for _, waiting := range engine.waiting {
		engine.report.tokens += waiting.prefillTokens
	}
	for _, running := range engine.batch {
		engine.report.tokens += running.prefillTokens
	}
	if engine.alive {
		engine.run.timeline.after(loadReportInterval, engine.refreshLoad)
	}
}

func (engine *engine) reportLoad(server *backend.Server) {
	server.Report(backend.NewLoad(engine.run.clock.Now(), engine.report.running, engine.report.queued, engine.report.tokens))
}

func (engine *engine) enqueue(created *job) {
	created.cachedBlocks = engine.cachedPrefix(created.blocks)
	created.prefillTokens = len(created.blocks)*runner.BlockTokens + created.tailTokens - created.cachedBlocks*runner.BlockTokens
	if created.imported {
		created.prefillTokens = 1
	}
	position, _ := slices.BinarySearchFunc(engine.waiting, created, func(a, b *job) int {
		if a.priority >= b.priority {
			return -1
		}
		return 1
	})
	engine.waiting = slices.Insert(engine.waiting, position, created)
	engine.scheduleStep()
}

func (engine *engine) cachedPrefix(blocks []uint64) int {
	for i, block := range blocks {
		if engine.cache[block] == nil {
			return i
		}
	}
	return len(blocks)
}

func (engine *engine) scheduleStep() {
	if engine.busy || !engine.alive {
		return
	}
	dropped := func(job *job) bool { return job.dropped }
	engine.batch = slices.DeleteFunc(engine.batch, dropped)
	engine.waiting = slices.DeleteFunc(engine.waiting, dropped)
	for len(engine.batch) < engineSlots && len(engine.waiting) > 0 {
		engine.admit(engine.waiting[0])
		engine.waiting = engine.waiting[1:]
	}
	if len(engine.batch) == 0 {
		return
	}
	engine.busy = true
	budget, decoding := chunkTokens, 0
	for _, running := range engine.batch {
		if running.prefillTokens == 0 {
			decoding++
			continue
		}
		take := min(running.prefillTokens, budget)
		running.prefillTokens -= take
		budget -= take
	}
	duration := stepBase + micros(decoding)*stepPerRequest + micros(chunkTokens-budget)*prefillPerToken
	engine.run.timeline.after(micros(float64(duration)/engine.speed), engine.finishStep)
}

// admit moves a job into the batch and counts its recomputed tokens.
func (engine *engine) admit(admitted *job) {
	engine.batch = append(engine.batch, admitted)
	if admitted.imported {
		return
	}
	admitted.cachedBlocks = engine.cachedPrefix(admitted.blocks)
	admitted.prefillTokens = max(1, (len(admitted.blocks)-admitted.cachedBlocks)*runner.BlockTokens+admitted.tailTokens)
	for _, block := range admitted.blocks[admitted.cachedBlocks:] {
		if engine.run.computed[block] {
			engine.run.result.recomputed += runner.BlockTokens
		}
		engine.run.computed[block] = true
	}
	if admitted.attempt > 1 {
		engine.run.result.recomputed += int64(admitted.tailTokens)
	}
}

func (engine *engine) finishStep() {
	engine.busy = false
	if !engine.alive {
		return
	}
	remaining := engine.batch[:0]
	for _, running := range engine.batch {
		if running.dropped {
			continue
		}
		if running.prefillTokens > 0 {
			remaining = append(remaining, running)
			continue
		}
		if running.decodedTokens == 0 {
			engine.store(running.blocks)
		}
		running.decodedTokens++
		running.call.handleToken(engine, running)
		if running.dropped {
			continue
		}
		if running.decodedTokens < running.responseTokens {
			remaining = append(remaining, running)
		} else {
			engine.store(running.call.responseBlocks())
		}
	}
	engine.batch = remaining
	engine.scheduleStep()
}

// store adds blocks to the cache and evicts the least recently used ones.
func (engine *engine) store(blocks []uint64) {
	for _, block := range blocks {
		engine.run.computed[block] = true
		if element := engine.cache[block]; element != nil {
			engine.lru.MoveToBack(element)
			continue
		}
		engine.cache[block] = engine.lru.PushBack(block)
		engine.emit(block, true)
	}
	for len(engine.cache) > cacheBlocks {
		oldest := engine.lru.Front()
		block := engine.lru.Remove(oldest).(uint64)
		delete(engine.cache, block)
		engine.emit(block, false)
	}
}

func (engine *engine) emit(block uint64, stored bool) {
	engine.serial++
	engine.events = append(engine.events, runner.NewCacheEvent(engine.serial, block, stored))
}

// drainEvents returns the last eventsPerReport events since the previous call;
// older ones are lost.
func (engine *engine) drainEvents() []runner.CacheEvent {
	events := engine.events
	if len(events) > eventsPerReport {
		events = events[len(events)-eventsPerReport:]
	}
	engine.events = nil
	return events
}

// kill ends the runner and the connection of every job.
func (engine *engine) kill() {
	engine.alive = false
	jobs := append(slices.Clone(engine.batch), engine.waiting...)
	engine.batch, engine.waiting = nil, nil
	for _, cut := range jobs {
		if !cut.dropped {
			cut.call.connectionLost(engine, cut)
		}
	}
}
