package tablecodec_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/table"
	"sapphirehead/internal/table/tablecodec"
)

// expectStable checks that decoded tables are equal after encoding and decoding
// them again.
func expectStable(t *testing.T, tables *table.Tables, encode func(*table.Tables) ([]byte, error), decode func([]byte) (*table.Tables, error)) {
	t.Helper()
	data, err := encode(tables)
	if err != nil {
		return
	}
	again, err := decode(data)
	require.NoError(t, err, string(data))
	require.Empty(t, tables.Difference("edit-1", again).Rows(), string(data))
}

func FuzzDecodeTOML(f *testing.F) {
	f.Add([]byte("[[routes]]\nname = \"desk\"\nkind = \"chat\"\npool = \"runners\"\nmodel = \"m\"\nworth = 5.0\n[[pools]]\nname = \"runners\"\nkind = \"runner\"\nmaxHosts = 1\n[[pools.models]]\nname = \"m\"\nversion = \"v1\"\nadapters = [\"a\"]\n"))
	f.Add([]byte("colour = 1\n[[routes]]\nworth = \"x\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tables, err := tablecodec.DecodeTOML(data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		if tables.Check() == nil {
			expectStable(t, tables, tablecodec.EncodeTOML, tablecodec.DecodeTOML)
		}
	})
}

func FuzzDecodeJSON(f *testing.F) {
	f.Add([]byte(`{"version":3,"routes":[{"name":"desk","kind":"chat","pool":"runners","model":"m","worth":1}],"pools":[{"name":"runners","kind":"runner","models":[{"name":"m","version":"v1"}]}],"recentEdits":["e"]}`))
	f.Add([]byte(`{"version":-1,"routes":[{"name":"a"},{"name":"a"}],"pools":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		tables, err := tablecodec.DecodeJSON(data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		_ = tables.Check()
		expectStable(t, tables, tablecodec.EncodeJSON, tablecodec.DecodeJSON)
	})
}

func FuzzDecodeEditJSON(f *testing.F) {
	f.Add([]byte(`{"id":"edit-1","routes":[{"name":"desk","kind":"chat","pool":"runners","model":"m","worth":1,"revision":3}],"removed":[{"row":"pool/x","revision":3}]}`))
	f.Add([]byte(`{"id":"edit-1","removed":[{"row":"x"},{"row":""},{"row":"route/"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		edit, err := tablecodec.DecodeEditJSON(data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		before := table.Empty()
		after, err := before.Apply(edit)
		require.Zero(t, before.Version(), "state changed")
		if err == nil {
			require.NoError(t, after.Check())
		}
	})
}
