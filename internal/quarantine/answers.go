package quarantine

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

const (
	// answerSlots is the number of parts and servers whose latest answer is kept, in
	// 8 bytes each. A deployment has some hundred servers and some thousand sessions.
	answerSlots = 8192
	// answerTick is the resolution of the times.
	answerTick = 10 * clock.Millisecond
	tickBits   = 32
	tickMask   = 1<<tickBits - 1
)

// answers holds when the latest answer for each part, and of each server, began. A
// newer part displaces an older one with the same slot.
type answers struct {
	start clock.Millis
	// slots hold the upper half of a hash and the ticks since the start; 0 is empty.
	slots *[answerSlots]atomic.Uint64
}

func newAnswers(start clock.Millis) answers {
	return answers{start: start, slots: new([answerSlots]atomic.Uint64)}
}

func (answers answers) record(hash uint64, at clock.Millis) {
	ticks := uint64(max(0, at-answers.start)/answerTick) + 1
	slot := &answers.slots[hash%answerSlots]
	for {
		current := slot.Load()
		if current>>tickBits == hash>>tickBits && current&tickMask >= ticks {
			return
		}
		if slot.CompareAndSwap(current, hash>>tickBits<<tickBits|ticks&tickMask) {
			return
		}
	}
}

func (answers answers) last(hash uint64) (at clock.Millis, ok bool) {
	current := answers.slots[hash%answerSlots].Load()
	if current == 0 || current>>tickBits != hash>>tickBits {
		return 0, false
	}
	return answers.start + clock.Millis(current&tickMask-1)*answerTick, true
}
