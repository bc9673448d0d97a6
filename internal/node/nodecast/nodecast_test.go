package nodecast_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sapphirehead/internal/admission"
	"sapphirehead/internal/backend"
	"sapphirehead/internal/canary"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodecast"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/quarantine"
	"sapphirehead/internal/release"
)

func sampleBulletin() node.Bulletin {
	return node.NewBulletin("edge-1", "127.0.0.1:7600", 7, 3, 1_000_000, true).WithConfiguration(14, 250).WithUptime(9000).WithReportedWindow(49).WithListService(8000).WithLeaving([]uint64{5, 6}).WithUsage(
		[]node.Usage{node.NewUsage("garage", 0, 412)}, []node.ServerWork{node.NewServerWork(9, 2, 4000)},
		[]node.Usage{node.NewUsage("engines", 5, 9000)}, []node.WindowRuns{node.NewWindowRuns(50, "garage", 3)}).WithServerLimits([]node.ServerLimit{
		node.NewServerLimit(9, backend.NewStatement(2.5), 20, 7).WithBorrowing().WithLoan(node.NewLoan("edge-2", 0.25)), node.NewServerLimit(8, backend.NewUnlimited(), 30, 6),
	}).WithEvidence(quarantine.NewEvidence(
		[]quarantine.CrashReport{quarantine.NewCrashReport(9, 40, []uint64{1, 2}).WithRepeated([]uint64{1})}, []quarantine.AnswerReport{quarantine.NewAnswerReport(1, 30)},
		[]quarantine.BlockReport{quarantine.NewBlockReport([]uint64{2}, 900, 50)})).WithReleases(release.NewNews(60_000,
		[]release.SightingReport{release.NewSightingReport(3, 4, 200)}, []release.BeginningReport{release.NewBeginningReport(11, 4, 3500)})).WithSpeeds(backend.NewSpeedNews(
		[]backend.SlowdownReport{backend.NewSlowdownReport(9, 2.5, 120)}, 7, []backend.RateObservation{backend.NewRateObservation(9, 0.25), backend.NewRateObservation(8, -0.5)})).WithRollouts(sampleRollouts()).WithAdmission([]admission.Sums{
		admission.NewSums("engines", 7000, []admission.RankSums{admission.NewRankSums(1, 3, 250, 40, 2, 1, 500)}, []admission.ClassSums{
			admission.NewClassSums(admission.NewClass("garage", 0), 900, 50, 800), admission.NewClassSums(admission.NewClass("garage", 1), 90, 5, 80),
			admission.NewClassSums(admission.NewClass("small", 1), 9, 0, 9),
		}).WithOverload(),
	})
}

func sampleRollouts() canary.Report {
	changed := canary.NewOrder("engines", "v3", 12000, 90).WithStatus("v2", canary.StateServing, 0.08, 50).WithStatus("v3", canary.StateServing, 0.04, 70)
	withdrawn := canary.NewOrder("app", "v2", 9000, 91).WithStatus("v2", canary.StateRolledBack, 0, 60).WithWithdrawn(95)
	return canary.NewReport(-1, []canary.OrderReport{
		canary.NewOrderReport(changed, true, 3, []canary.Sum{
			canary.NewSum("chat", canary.NewCount(40, 3, 2, 1500), canary.NewCount(900, 1, 4, 0)),
			canary.NewSum("resume", canary.NewCount(5, 0, 0, 0), canary.NewCount(70, 0, 0, 0)),
		}),
		canary.NewOrderReport(withdrawn, false, 0, []canary.Sum{}),
	})
}

// TestNoRollouts guards against a node without rollouts that counts as one that knows that
// there are no orders.
func TestNoRollouts(t *testing.T) {
	data, err := nodecast.Encode(node.NewBulletin("edge-1", "127.0.0.1:7600", 7, 3, 1_000_000, true))
	require.NoError(t, err)
	bulletin, err := nodecast.Decode(data)
	require.NoError(t, err)
	_, takesPart := bulletin.Rollouts()
	require.False(t, takesPart)
}

func TestSocket(t *testing.T) {
	sender, err := nodecast.New("127.0.0.1:0")
	require.NoError(t, err)
	receiver, err := nodecast.New("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, sender.Close()) }()
	defer func() { require.NoError(t, receiver.Close()) }()
	size, err := sender.Send(sampleBulletin(), []node.Receiver{node.NewReceiver("edge-lj-a-2", receiver.Address())})
	require.NoError(t, err)
	require.Positive(t, size)
	received, err := receiver.Receive(nodecast.NewBuffer())
	require.NoError(t, err)
	require.Equal(t, sampleBulletin(), received)
}

func TestDecode(t *testing.T) {
	for name, bulletin := range map[string]node.Bulletin{
		"no host":        node.NewBulletin("", "127.0.0.1:7600", 7, 1, 0, false),
		"no incarnation": node.NewBulletin("edge-1", "127.0.0.1:7600", 0, 1, 0, false),
		"no port":        node.NewBulletin("edge-1", "somewhere", 7, 1, 0, false),
	} {
		t.Run(name, func(t *testing.T) {
			data, err := nodecast.Encode(bulletin)
			require.NoError(t, err)
			_, err = nodecast.Decode(data)
			require.Error(t, err)
		})
	}
}

// TestDecodeLists checks that lists whose elements belong together must have
// the same length.
func TestDecodeLists(t *testing.T) {
	expectRefused := func(t *testing.T, edit func(*nodepb.Bulletin)) {
		t.Helper()
		data, err := nodecast.Encode(sampleBulletin())
		require.NoError(t, err)
		message := &nodepb.Bulletin{}
		require.NoError(t, proto.Unmarshal(data, message))
		edit(message)
		data, err = proto.Marshal(message)
		require.NoError(t, err)
		_, err = nodecast.Decode(data)
		require.Error(t, err)
	}
	t.Run("use", func(t *testing.T) {
		expectRefused(t, func(message *nodepb.Bulletin) { message.SetUsed([]int64{1, 2}) })
	})
	t.Run("slowdowns", func(t *testing.T) {
		expectRefused(t, func(message *nodepb.Bulletin) { message.GetSpeeds().SetAgesMillis(nil) })
		expectRefused(t, func(message *nodepb.Bulletin) { message.GetSpeeds().SetSlowPercents([]int32{0}) })
		expectRefused(t, func(message *nodepb.Bulletin) { message.GetSpeeds().SetAgesMillis([]int32{-1}) })
	})
	t.Run("rates", func(t *testing.T) {
		expectRefused(t, func(message *nodepb.Bulletin) { message.GetSpeeds().SetLogarithms([]int32{1}) })
	})
	t.Run("attempts", func(t *testing.T) { expectRefused(t, func(message *nodepb.Bulletin) { message.SetAttempts(nil) }) })
	t.Run("tokens", func(t *testing.T) {
		expectRefused(t, func(message *nodepb.Bulletin) { message.SetWaitingTokens([]int32{1, 2}) })
	})
	t.Run("a limit", func(t *testing.T) {
		expectRefused(t, func(message *nodepb.Bulletin) { message.GetServerLimits()[0].SetPerSecond(math.NaN()) })
	})
	t.Run("answers", func(t *testing.T) {
		expectRefused(t, func(message *nodepb.Bulletin) { message.GetCrashEvidence().SetAnswerAgesMillis(nil) })
	})
	rollout := func(message *nodepb.Bulletin) *nodepb.RolloutOrder { return message.GetRollouts().GetOrders()[0] }
	t.Run("counts of a rollout", func(t *testing.T) {
		expectRefused(t, func(message *nodepb.Bulletin) { rollout(message).SetBaseline([]int64{1, 2, 3, 4}) })
	})
	t.Run("the share of a rollout", func(t *testing.T) {
		expectRefused(t, func(message *nodepb.Bulletin) { rollout(message).SetShare(math.NaN()) })
	})
	t.Run("the state of a rollout", func(t *testing.T) {
		expectRefused(t, func(message *nodepb.Bulletin) { rollout(message).SetState(9) })
	})
	t.Run("the pool of a rollout", func(t *testing.T) {
		expectRefused(t, func(message *nodepb.Bulletin) { rollout(message).SetPool("") })
	})
	t.Run("ranks of admissions", func(t *testing.T) {
		expectRefused(t, func(message *nodepb.Bulletin) { message.GetAdmission()[0].SetLate(nil) })
	})
	t.Run("classes of admissions", func(t *testing.T) {
		expectRefused(t, func(message *nodepb.Bulletin) { message.GetAdmission()[0].SetOffered(nil) })
	})
	t.Run("an account that is not listed", func(t *testing.T) {
		expectRefused(t, func(message *nodepb.Bulletin) { message.GetAdmission()[0].SetClassAccounts([]int32{0, 1, 2}) })
	})
	t.Run("windows", func(t *testing.T) {
		expectRefused(t, func(message *nodepb.Bulletin) { message.GetWindows()[0].SetRuns(nil) })
	})
}

func FuzzDecode(f *testing.F) {
	data, err := nodecast.Encode(sampleBulletin())
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if bulletin, err := nodecast.Decode(data); err == nil {
			require.NotEmpty(t, bulletin.Host())
		}
	})
}
