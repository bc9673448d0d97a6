package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
)

// Load of one node at the target size (9,600 requests per second at 380 nodes),
// and its budget for control traffic in bytes per second.
const (
	targetRequestsPerSecond = 9600.0 / 380
	targetControlBytes      = 3000.0
)

// TestHintBytes checks that the hints for all requests of a node at the target
// size fit into its budget for control traffic, sent in batches of hintDelay.
func TestHintBytes(t *testing.T) {
	reqRoute := route.New("renewal-summaries", route.KindChat, "runners")
	var hints []*nodepb.Hint
	batch := targetRequestsPerSecond * float64(hintDelay) / float64(clock.Second)
	for i := range int(batch + 0.5) {
		id := request.NewID(node.Tag("entry-17"), [12]byte{byte(i), 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
		req := request.New(id, "garage-north", reqRoute, "", request.Prompt{}, 0)
		hints = append(hints, hintMessage(req, "runner-lj-a-1234", "runner-lj-a-1234-567890", 0))
	}
	size := proto.Size(nodepb.Call_builder{Hints: nodepb.Hints_builder{Sender: new(uint32(1 << 31)), Hints: hints}.Build()}.Build())
	perRequest := float64(size) / float64(len(hints))
	t.Logf("%d hints, %.1f bytes for each, %.0f bytes a second at the target", len(hints), perRequest, perRequest*targetRequestsPerSecond)
	require.Less(t, perRequest*targetRequestsPerSecond, targetControlBytes)
}
