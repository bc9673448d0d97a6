package weightstore_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/weightstore"
)

// expectWait checks how long the pacer waits after the store refused a load of the
// worth, where the highest worth is 10 and random returns 0.5.
func expectWait(t *testing.T, worth float64, wait clock.Millis) {
	t.Helper()
	manual := clock.NewManual(1000)
	pacer := weightstore.NewPacer(manual.Clock(), func() float64 { return 0.5 })
	require.True(t, pacer.Allow())
	pacer.BackOff(clock.Second, worth, 10)
	manual.Advance(wait - 1)
	require.False(t, pacer.Allow())
	manual.Advance(1)
	require.True(t, pacer.Allow())
}

func TestPacer(t *testing.T) {
	t.Run("a load of the highest worth waits least", func(t *testing.T) { expectWait(t, 10, 1250) })
	t.Run("a load of less worth waits longer", func(t *testing.T) { expectWait(t, 2.5, 2000) })
	t.Run("a load of no worth waits for the maximum", func(t *testing.T) { expectWait(t, 0, 3000) })
	t.Run("a grant is kept until its order was sent", func(t *testing.T) {
		pacer := weightstore.NewPacer(clock.NewManual(0).Clock(), func() float64 { return 0 })
		load := weightstore.NewLoad("host-1", "desk", "v1")
		pacer.RecordGrant(load)
		require.True(t, pacer.Granted(load))
		require.False(t, pacer.Granted(weightstore.NewLoad("host-2", "desk", "v1")))
		pacer.ClearGrant(load)
		require.False(t, pacer.Granted(load))
	})
}
