package caller_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
)

// partition plays the demand of one account at nodes of which some are cut off from all
// others for a while. Nodes that are in contact receive each other's usage after delay, and
// count a silent peer as lost after liveAge. After the cut each node receives at once what
// was used on the other side.
type partition struct {
	nodes, cutOff  int
	delay          clock.Millis
	perS, pressure float64
	// costs are those of the requests, in turn.
	costs []int
	// from and to are the times of the cut. The demand is calmPressure until surge, and
	// pressure from then on.
	from, to, surge clock.Millis
}

const (
	partitionStep = 20 * clock.Millisecond
	partitionLive = 1500 * clock.Millisecond
	// calmPressure is the usual demand in relation to the allotment.
	calmPressure = 0.5
)

type partitionUsage struct {
	at     clock.Millis
	sender int
	tokens int64
}

// contact reports whether two nodes are in contact at the time.
func (partition partition) contact(a, b int, now clock.Millis) bool {
	return now < partition.from || now >= partition.to || (a >= partition.cutOff && b >= partition.cutOff)
}

// share returns the share of the nodes that are live at the node.
func (partition partition) share(node int, now clock.Millis) float64 {
	if now < partition.from+partitionLive || now >= partition.to+partition.delay {
		return 1
	}
	if node < partition.cutOff {
		return 1 / float64(partition.nodes)
	}
	return float64(partition.nodes-partition.cutOff) / float64(partition.nodes)
}

// meanAge returns the mean age of the latest bulletins of the peers that count as live.
func (partition partition) meanAge(node int, now clock.Millis) clock.Millis {
	silent := partition.nodes - 1
	if node >= partition.cutOff {
		silent = partition.cutOff
	}
	if now < partition.from || now >= partition.from+partitionLive || partition.cutOff == 0 {
		return partition.delay
	}
	return partition.delay + clock.Millis(silent)*(now-partition.from)/clock.Millis(partition.nodes-1)
}

// play returns the tokens asked for and admitted in each step until the length.
func (partition partition) play(allotment caller.Allotment, length clock.Millis) (asked, admitted []int64) {
	choose := rand.New(rand.NewPCG(11, 0))
	meters := make([]*caller.Meter, partition.nodes)
	unseen := make([]map[int]int64, partition.nodes) // By receiver and sender, held back by the cut.
	for i := range meters {
		meters[i], unseen[i] = caller.NewMeter(allotment, 0), map[int]int64{}
	}
	var pending []partitionUsage
	demanded, cost := 0.0, 0
	for now := clock.Millis(0); now < length; now += partitionStep {
		for ; len(pending) > 0 && pending[0].at <= now; pending = pending[1:] {
			for receiver, meter := range meters {
				switch usage := pending[0]; {
				case receiver == usage.sender:
				case partition.contact(receiver, usage.sender, now):
					meter.AddPeerUsage(allotment.InContact(partition.share(receiver, now)).WithDelay(partition.delay), usage.tokens, partition.share(receiver, now), now)
				default:
					unseen[receiver][usage.sender] += usage.tokens
				}
			}
		}
		if now >= partition.to+partition.delay {
			for receiver, meter := range meters {
				for sender, tokens := range unseen[receiver] {
					meter.AddUsageDuringSilence(allotment.InContact(partition.share(receiver, now)).WithDelay(partition.delay), tokens, partition.share(receiver, now), now)
					delete(unseen[receiver], sender)
				}
			}
		}
		askedNow, admittedNow := int64(0), int64(0)
		pressure := calmPressure
		if now >= partition.surge {
			pressure = partition.pressure
		}
		for demanded += pressure * partition.perS * float64(partitionStep) / 1000; demanded > 0; demanded -= float64(cost) {
			node := choose.IntN(partition.nodes)
			cost = partition.costs[choose.IntN(len(partition.costs))]
			askedNow += int64(cost)
			if meters[node].Admit(allotment.InContact(partition.share(node, now)).WithDelay(partition.meanAge(node, now)), cost, partition.share(node, now), partition.nodes, now) == nil {
				admittedNow += int64(cost)
				pending = append(pending, partitionUsage{at: now + partition.delay, sender: node, tokens: int64(cost)})
			}
		}
		asked, admitted = append(asked, askedNow), append(admitted, admittedNow)
	}
	return asked, admitted
}

// TestAllotmentAcrossCut checks that nodes that are cut off from each other don't each
// hold an account's whole burst, and that an account below its allotment isn't locked out
// after the cut by the usage that its other nodes report then: from a second after it on
// all of its requests are admitted.
func TestAllotmentAcrossCut(t *testing.T) {
	const perS, burst, slack, window = 1_480_000.0, 2_960_000.0, 110_000.0, 8 * clock.Second
	const cutFrom, cutTo, length = 2 * clock.Second, 14 * clock.Second, 24 * clock.Second
	allotment := caller.NewAllotment(perS, burst, 1, true).WithOvershoot(0.05, slack*0.6).WithDetection(partitionLive)
	// Long prompts are rare and several times as long as others.
	costs := []int{2_400, 2_400, 7_400, 9_200, 9_200, 9_200, 46_000}
	newPartition := func(nodes, cutOff int, pressure float64, surge clock.Millis) partition {
		return partition{nodes: nodes, cutOff: cutOff, perS: perS, pressure: pressure, costs: costs, delay: max(90, 9*clock.Millis(nodes)/2), from: cutFrom, to: cutTo, surge: surge}
	}
	expectBound := func(t *testing.T, partition partition) {
		t.Helper()
		_, admitted := partition.play(allotment, length)
		highest := int64(0)
		for start := range admitted {
			sum := int64(0)
			for _, tokens := range admitted[start:min(len(admitted), start+int(window/partitionStep))] {
				sum += tokens
			}
			highest = max(highest, sum)
		}
		require.LessOrEqual(t, float64(highest), (perS*float64(window)/1000+burst)*1.1+slack)
	}
	expectServedAfterCut := func(t *testing.T, partition partition) {
		t.Helper()
		asked, admitted := partition.play(allotment, length)
		wanted, got := int64(0), int64(0)
		for step := int((cutTo + clock.Second) / partitionStep); step < len(asked); step++ {
			wanted, got = wanted+asked[step], got+admitted[step]
		}
		require.Equal(t, wanted, got)
	}
	t.Run("26 of 74 nodes, 7 times the allotment shortly before the cut ends", func(t *testing.T) { expectBound(t, newPartition(74, 26, 7, 12*clock.Second)) })
	for name, surge := range map[string]clock.Millis{"before the cut": 1 * clock.Second, "as the cut begins": cutFrom, "during the cut": 8 * clock.Second, "as the cut ends": cutTo} {
		t.Run("26 of 74 nodes, 4 times the allotment "+name, func(t *testing.T) { expectBound(t, newPartition(74, 26, 4, surge)) })
		t.Run("half of 74 nodes, 2 times the allotment "+name, func(t *testing.T) { expectBound(t, newPartition(74, 37, 2, surge)) })
		t.Run("2 of 7 nodes, 4 times the allotment "+name, func(t *testing.T) { expectBound(t, newPartition(7, 2, 4, surge)) })
	}
	t.Run("below the allotment after the cut", func(t *testing.T) { expectServedAfterCut(t, newPartition(74, 26, 0.8, 0)) })
	t.Run("below the allotment after the cut at 7 nodes", func(t *testing.T) { expectServedAfterCut(t, newPartition(7, 2, 0.8, 0)) })
}
