package caller_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/caller"
)

func TestAccounts(t *testing.T) {
	north, south := caller.NewAccount("garage-north", 0), caller.NewAccount("garage-south", 0)
	accounts := caller.NewAccounts(map[string]*caller.Account{
		caller.HashKey("key-1"): south, caller.HashKey("key-2"): north, caller.HashKey("key-3"): north,
	})
	expectAccount := func(t *testing.T, key string, want *caller.Account) {
		t.Helper()
		account, ok := accounts.ByKey(key)
		require.Equal(t, want != nil, ok)
		require.Same(t, want, account)
	}
	t.Run("either key of an account", func(t *testing.T) {
		expectAccount(t, "key-2", north)
		expectAccount(t, "key-3", north)
	})
	t.Run("unknown key", func(t *testing.T) { expectAccount(t, "key-4", nil) })
	t.Run("an account with two keys is one account", func(t *testing.T) {
		require.Equal(t, []*caller.Account{north, south}, accounts.All())
	})
}
