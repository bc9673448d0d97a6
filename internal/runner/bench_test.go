package runner

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

// benchSizes are numbers of runners in a pool, up to the target size of 3700.
var benchSizes = []int{10, 100, 1000, 3700}

// newConstantClock returns a clock that, unlike the manual one, takes no lock.
func newConstantClock() *clock.Clock {
	now := func() clock.Millis { return 1000 }
	return clock.New(now, now, nil)
}

func BenchmarkPlace(b *testing.B) {
	for _, runners := range benchSizes {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			fixture := newPlacerFixture(runners, rand.IntN)
			for i := range runners {
				fixture.report(i, i%8, 0, 100*(i%5))
			}
			fixture.placer.clock = newConstantClock()
			fixture.placer.Refresh()
			chains := make([]Chain, 64)
			for i := range chains {
				chains[i] = chainFrom(1000*i, 100)
			}
			b.ReportAllocs()
			b.RunParallel(func(loop *testing.PB) {
				for i := 0; loop.Next(); i++ {
					fixture.placer.Place(fixture.req, chains[i%len(chains)], 0, nil)
				}
			})
		})
	}
}

func BenchmarkPrefixLookup(b *testing.B) {
	fixture := newPlacerFixture(10, rand.IntN)
	chain := chainFrom(0, 100)
	fixture.index.Record(fixture.server(3), chain)
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			fixture.index.Cached(fixture.server(3), chain)
		}
	})
}

func BenchmarkChain(b *testing.B) {
	prompt := request.NewPrompt("desk-small", []request.Message{request.NewMessage("user", strings.Repeat("filter ", 1600))}, 0, 0)
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			NewPromptChain(prompt)
		}
	})
}
