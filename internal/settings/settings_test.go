package settings_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/caller"
	"sapphirehead/internal/settings"
)

const validEntry = `host = "entry-1"
dataCentre = "lj-a"

[caller]
listen = "127.0.0.1:0"

[operator]
listen = "127.0.0.1:0"
token = "token-of-operators"

[node]
listen = "127.0.0.1:0"

[platform]
address = "127.0.0.1:9000"
`

const accountTable = "[[clientAccounts]]\nname = \"garage-north\"\nkey = \"key-garage-north\"\n"

// expectProblem checks that exactly one problem is reported, and its line of text.
func expectProblem(t *testing.T, data, line string) {
	t.Helper()
	_, err := settings.ParseEntry("entry.toml", []byte(data))
	require.EqualError(t, err, line)
	var settingsErr *settings.Error
	require.ErrorAs(t, err, &settingsErr)
	require.Len(t, settingsErr.Problems(), 1)
}

func TestEntry(t *testing.T) {
	t.Run("valid", func(t *testing.T) {
		entry, err := settings.ParseEntry("entry.toml", []byte(validEntry))
		require.NoError(t, err)
		require.Equal(t, "entry-1", entry.Host())
		require.Equal(t, "127.0.0.1:9000", entry.Platform().Address())
	})
	t.Run("unknown key", func(t *testing.T) {
		expectProblem(t, validEntry+"colour = \"x\"\n", "entry.toml:16: platform.colour: unknown key: allowed are address, timeoutMillis")
	})
	t.Run("wrong type", func(t *testing.T) {
		expectProblem(t, validEntry+"timeoutMillis = \"soon\"\n",
			"entry.toml:16: platform.timeoutMillis: is a text: allowed is a whole number from 1 to 60000")
	})
	t.Run("out of range", func(t *testing.T) {
		expectProblem(t, validEntry+"timeoutMillis = 70000\n", "entry.toml:16: platform.timeoutMillis: is 70000: allowed is a whole number from 1 to 60000")
	})
	t.Run("missing", func(t *testing.T) {
		expectProblem(t, validEntry+"[[clientAccounts]]\nkey = \"key-garage-north\"\n",
			"entry.toml:16: clientAccounts.name: missing: allowed is a text such as \"garage-north\"")
	})
	t.Run("explicit zero is not a default", func(t *testing.T) {
		expectProblem(t, validEntry+"timeoutMillis = 0\n", "entry.toml:16: platform.timeoutMillis: is 0: allowed is a whole number from 1 to 60000")
	})
	t.Run("host name for an IP address", func(t *testing.T) {
		expectProblem(t, strings.Replace(validEntry, "127.0.0.1:9000", "platform:9000", 1),
			`entry.toml:15: platform.address: is "platform:9000": allowed is an IP address and a port such as "127.0.0.1:7000"`)
	})
	t.Run("table of an array", func(t *testing.T) {
		expectProblem(t, validEntry+accountTable+"maxInFlight = -1\n"+strings.ReplaceAll(accountTable, "north", "south")+"maxInFlight = 5\n",
			"entry.toml:19: clientAccounts.maxInFlight: is -1: allowed is a whole number from 0 to 1000000")
	})
	t.Run("account without a key", func(t *testing.T) {
		expectProblem(t, validEntry+"[[clientAccounts]]\nname = \"garage-north\"\n",
			`entry.toml:16: clientAccounts.key: of account "garage-north" is missing: give key, keyHash, keys or keyHashes`)
	})
	t.Run("link without authorities", func(t *testing.T) {
		expectProblem(t, validEntry+"[node.tls]\ncertFile = \"a\"\nkeyFile = \"b\"\n",
			"entry.toml:16: node.tls.caFile: missing: links between nodes need the certificate authorities of peer nodes")
	})
	t.Run("syntax", func(t *testing.T) {
		expectProblem(t, "host = \n", "entry.toml:1: syntax: unexpected character U+000A at start of value")
	})
}

func TestEveryProblemIsReported(t *testing.T) {
	_, err := settings.ParseEntry("entry.toml", []byte("host = 3\ncolour = 1\n[caller]\nlisten = \"x\"\n"))
	var settingsErr *settings.Error
	require.ErrorAs(t, err, &settingsErr)
	var keys []string
	for _, problem := range settingsErr.Problems() {
		keys = append(keys, problem.Key())
	}
	require.Equal(t, []string{"host", "dataCentre", "caller.listen", "operator.listen", "node.listen", "platform.address", "colour"}, keys)
}

func TestSecrets(t *testing.T) {
	parse := func(t *testing.T, data string) *settings.Entry {
		entry, err := settings.ParseEntry("entry.toml", []byte(data))
		require.NoError(t, err)
		return entry
	}
	t.Run("keys and hashes for rotation", func(t *testing.T) {
		old, next := caller.HashKey("key-garage-north"), caller.HashKey("key-garage-north-2")
		entry := parse(t, validEntry+accountTable+"keyHashes = [\""+strings.ToUpper(next)+"\"]\n")
		require.Equal(t, []string{old, next}, entry.Accounts()[0].KeyHashes())
	})
	t.Run("tokens with roles", func(t *testing.T) {
		entry := parse(t, validEntry+"[[operator.tokens]]\nname = \"desk\"\nrole = \"read\"\ntoken = \"token-of-the-desk\"\n")
		require.Len(t, entry.OperatorTokens(), 2)
		require.True(t, entry.OperatorTokens()[0].MayWrite())
		require.Equal(t, "desk", entry.OperatorTokens()[1].Name())
		require.False(t, entry.OperatorTokens()[1].MayWrite())
	})
	t.Run("no error repeats a secret", func(t *testing.T) {
		for _, data := range []string{
			validEntry + accountTable + strings.Replace(accountTable, "north\"\nkey", "south\"\nkey", 1),
			validEntry + strings.Replace(accountTable, "key =", "keyHash =", 1),
			validEntry + strings.Replace(accountTable, "key =", "keys =", 1),
			strings.Replace(validEntry, "token-of-operators", "short", 1),
			validEntry + accountTable + "key = \"key-garage-north-2\"\n",
		} {
			_, err := settings.ParseEntry("entry.toml", []byte(data))
			require.Error(t, err)
			require.NotContains(t, err.Error(), "key-garage")
			require.NotContains(t, err.Error(), "short")
		}
	})
}

func TestReference(t *testing.T) {
	for name, keys := range map[string][]settings.Key{"entry": settings.EntryReference(), "steward": settings.StewardReference()} {
		for _, key := range keys {
			t.Run(name+" "+key.Name(), func(t *testing.T) {
				require.NotEmpty(t, key.Help())
				require.NotContains(t, key.Allowed(), "from  to", "bounds are missing")
			})
		}
	}
}

func FuzzParseEntry(f *testing.F) {
	f.Add([]byte(validEntry + accountTable))
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := settings.ParseEntry("entry.toml", data)
		var settingsErr *settings.Error
		if err != nil {
			require.ErrorAs(t, err, &settingsErr)
			require.NotEmpty(t, err.Error())
			return
		}
		require.NotEmpty(t, entry.Host())
	})
}

func FuzzParseSteward(f *testing.F) {
	f.Add([]byte("host = \"entry-1\"\ndataCentre = \"lj-a\"\n[platform]\naddress = \"127.0.0.1:1\"\n[cloud]\naddress = \"127.0.0.1:1\"\n[weightStore]\naddress = \"127.0.0.1:1\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		steward, err := settings.ParseSteward("steward.toml", data)
		var settingsErr *settings.Error
		if err != nil {
			require.ErrorAs(t, err, &settingsErr)
			return
		}
		require.Positive(t, steward.Lease())
	})
}
