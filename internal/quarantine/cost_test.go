package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEvidenceStaysSmall guards against evidence that grows with the innocent suspects of
// each crash: at hundreds of nodes it took their processor time and broke their contact.
func TestEvidenceStaysSmall(t *testing.T) {
	const crashes, bystanders = 40, 20
	// maxEntries is what fits into a datagram without fragments, at 10 bytes each.
	const maxEntries = 140
	newWave := func(fatal string) *scene {
		scene := newScene(t, 2)
		for i := range bystanders * crashes {
			scene.nodes[i%2].Answered(1, prompt(fmt.Sprint("A S", i)), 500)
		}
		for i := range crashes {
			prompts := []string{fatal, fatal}
			for j := range bystanders {
				prompts = append(prompts, fmt.Sprintf("A S%d #%d", bystanders*i+j, j))
			}
			scene.crash(1+0.05*float64(i), prompts...)
		}
		return scene
	}
	expectSmall := func(t *testing.T, scene *scene) {
		t.Helper()
		for _, node := range scene.nodes {
			evidence := node.Evidence(scene.now)
			entries := len(evidence.Answers()) + len(evidence.Blocks())
			for _, report := range evidence.Crashes() {
				entries += 1 + len(report.Traits()) + len(report.Repeated())
			}
			require.LessOrEqual(t, entries, maxEntries)
		}
	}
	t.Run("a wave with a fatal part", func(t *testing.T) { expectSmall(t, newWave("A D")) })
	t.Run("a wave without one", func(t *testing.T) { expectSmall(t, newWave("A")) })
}
