package caller

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sapphirehead/internal/clock"
)

func BenchmarkAdmit(b *testing.B) {
	now := func() clock.Millis { return 1000 }
	gate, admission := NewGate(rand.Float64), NewAdmission(1_000_000)
	limits := NewLimits(clock.New(now, now, nil), func() int { return 7 })
	routeConfig := deskRoute.WithLimits(1_000_000, 0)
	var accounts []*Account
	for i := range 5 {
		accounts = append(accounts, NewAccount(fmt.Sprintf("account-%d", i), 0))
	}
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		for i := 0; loop.Next(); i++ {
			account := accounts[i%len(accounts)]
			release, err := limits.Admit(account, routeConfig)
			if err != nil {
				b.Error(err)
				return
			}
			if gate.Admit(NewOffer(account, routeConfig, 50, 0, offerCost)) == nil {
				if done, err := admission.Admit(account); err == nil {
					done()
				}
			}
			release()
		}
	})
}
