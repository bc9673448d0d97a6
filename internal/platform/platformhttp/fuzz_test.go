package platformhttp_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/platform/platformhttp"
)

func FuzzDecodeHosts(f *testing.F) {
	f.Add([]byte(`{"hosts":[{"id":"host-1","address":"127.0.0.1:1","dataCentre":"lj-a","hostClass":"gpu-small","pool":"runners","state":"leaving"}]}`))
	f.Add([]byte(`{"hosts":[{"id":"","address":""},null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := platformhttp.DecodeHosts(data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			require.Empty(t, list)
			return
		}
		fleet := backend.NewFleet()
		fleet.Update(list)
		fleet.Update(list)
		require.LessOrEqual(t, len(fleet.Current().Servers()), len(list))
	})
}

func FuzzDecodeShard(f *testing.F) {
	f.Add([]byte(`{"claims":{"garage-north/booking-1":{"nonce":"req-1","atMillis":5,"status":201,"contentType":"text/plain","body":"eA=="}}}`))
	f.Add([]byte(`{"claims":{"a":{"status":1,"body":"%"}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		shard, err := platformhttp.DecodeShard(data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		encoded, err := platformhttp.EncodeShard(shard)
		require.NoError(t, err)
		again, err := platformhttp.DecodeShard(encoded)
		require.NoError(t, err)
		require.Len(t, again.Claims(), len(shard.Claims()))
	})
}
