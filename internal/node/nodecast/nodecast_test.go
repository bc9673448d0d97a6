package nodecast_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodecast"
)

func sample() node.Bulletin {
	return node.NewBulletin("edge-1", "127.0.0.1:7600", 7, 3, 1_000_000, true).WithUse(
		[]node.Use{node.NewUse("garage", 0, 412)}, []node.ServerWork{node.NewServerWork(9, 2, 4000)},
		[]node.Use{node.NewUse("engines", 5, 9000)}, []node.WindowRuns{node.NewWindowRuns(50, "garage", 3)})
}

func TestCast(t *testing.T) {
	one, err := nodecast.New("127.0.0.1:0")
	require.NoError(t, err)
	other, err := nodecast.New("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, one.Close()) }()
	defer func() { require.NoError(t, other.Close()) }()
	require.NoError(t, one.Send(sample(), []string{other.Address()}))
	heard, err := other.Receive(nodecast.NewBuffer())
	require.NoError(t, err)
	require.Equal(t, sample(), heard)
}

func TestDecode(t *testing.T) {
	for name, bulletin := range map[string]node.Bulletin{
		"no host":        node.NewBulletin("", "127.0.0.1:7600", 7, 1, 0, false),
		"no process":     node.NewBulletin("edge-1", "127.0.0.1:7600", 0, 1, 0, false),
		"address a name": node.NewBulletin("edge-1", "somewhere", 7, 1, 0, false),
	} {
		t.Run(name, func(t *testing.T) {
			data, err := nodecast.Encode(bulletin)
			require.NoError(t, err)
			_, err = nodecast.Decode(data)
			require.Error(t, err)
		})
	}
}

func FuzzDecode(f *testing.F) {
	data, err := nodecast.Encode(sample())
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if bulletin, err := nodecast.Decode(data); err == nil {
			require.NotEmpty(t, bulletin.Host())
		}
	})
}
