package canary

import (
	"maps"
	"math"
	"math/bits"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

const (
	// slowFactor and slowSlack define a slow answer: it took several times the median and
	// noticeably longer. On hosts shared with other work 15 in 100 answers take 2.5 times
	// as long, which must not hide a version that takes four times as long; with a factor
	// of 3 a third of its answers passed.
	slowFactor = 2.8
	slowSlack  = 20 * clock.Millisecond
	// minSamples is the least number of answers that show a median.
	minSamples = 5
	// A generation of samples ends when it has the number and the age, so that medians
	// follow the load but rare routes keep enough samples.
	generationSamples = 64
	generationSpan    = 5 * clock.Second
	// Durations are counted in eight classes for each doubling, up to about four minutes.
	classesPerDoubling = 8
	classes            = 18 * classesPerDoubling
	// maxSeries bounds the combinations of route and prompt length.
	maxSeries = 1024
)

// generation has durations of answers by class.
type generation struct {
	began   clock.Millis
	total   atomic.Int64
	byClass [classes]atomic.Uint32
}

// generations are the samples of a series. Both are replaced together.
type generations struct {
	previous, current *generation
}

// series has the latest durations of answers on a route to prompts of about one length.
type series struct {
	samples atomic.Pointer[generations]
}

func (series *series) add(took, now clock.Millis) {
	samples := series.samples.Load()
	current := samples.current
	current.byClass[classOf(took)].Add(1)
	if current.total.Add(1) >= generationSamples && now-current.began >= generationSpan {
		series.samples.CompareAndSwap(samples, &generations{previous: current, current: &generation{began: now}})
	}
}

// median returns the middle of the median's class, and false if there are too few
// samples.
func (series *series) median() (millis float64, ok bool) {
	samples := series.samples.Load()
	total := samples.previous.total.Load() + samples.current.total.Load()
	if total < minSamples {
		return 0, false
	}
	seen := int64(0)
	for class := range classes {
		seen += int64(samples.previous.byClass[class].Load()) + int64(samples.current.byClass[class].Load())
		if 2*seen >= total {
			return math.Exp2((float64(class)+0.5)/classesPerDoubling) - 1, true
		}
	}
	return 0, false
}

func classOf(took clock.Millis) int {
	return min(classes-1, int(classesPerDoubling*math.Log2(float64(max(0, took)+1))))
}

type seriesKey struct {
	pool, route string
	// length is the number of bits of the prompt's length, so each class of lengths goes
	// up to twice its lowest.
	length int
}

// medians has the usual durations of answers, by pool, route and prompt length, of
// versions that aren't on trial. The map is replaced when a series is added.
type medians struct {
	bySeries atomic.Pointer[map[seriesKey]*series]
}

func newMedians() *medians {
	medians := &medians{}
	medians.bySeries.Store(&map[seriesKey]*series{})
	return medians
}

func keyOf(pool string, answer Answer) seriesKey {
	return seriesKey{pool: pool, route: answer.route, length: bits.Len(uint(max(0, answer.tokens)))}
}

func (medians *medians) add(pool string, answer Answer, now clock.Millis) {
	key := keyOf(pool, answer)
	for {
		current := medians.bySeries.Load()
		if known, ok := (*current)[key]; ok {
			known.add(answer.took, now)
			return
		}
		if len(*current) >= maxSeries {
			return
		}
		next := maps.Clone(*current)
		next[key] = &series{}
		next[key].samples.Store(&generations{previous: &generation{}, current: &generation{began: now}})
		medians.bySeries.CompareAndSwap(current, &next)
	}
}

// slowAfter returns the time after which an answer counts as slow, and false if the usual
// duration isn't known. Then that of longer prompts, which is higher, is taken, or else
// that of shorter ones.
func (medians *medians) slowAfter(pool string, answer Answer) (clock.Millis, bool) {
	bySeries, key := *medians.bySeries.Load(), keyOf(pool, answer)
	for _, offset := range [...]int{0, 1, -1} {
		if known, ok := bySeries[seriesKey{pool: pool, route: key.route, length: key.length + offset}]; ok {
			if median, ok := known.median(); ok {
				return clock.Millis(max(slowFactor*median, median+float64(slowSlack))), true
			}
		}
	}
	return 0, false
}
