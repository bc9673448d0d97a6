package harness

import (
	"fmt"
	"strconv"
	"strings"

	"sapphirehead/internal/clock"
)

// Names and secrets in the settings files that are written here.
const (
	Account       = "garage-north"
	CallerKey     = "key-garage-north"
	OperatorToken = "token-of-operators"
)

const entryTemplate = `host = %q
dataCentre = %q
[caller]
listen = "127.0.0.1:0"
[operator]
listen = "127.0.0.1:0"
token = %q
[node]
listen = "127.0.0.1:0"
fellows = [%s]
[platform]
address = %q
[stop]
readyOffMillis = 300
graceMillis = %d
[[clientAccounts]]
name = %q
key = %q
`

const cloudTemplate = `[cloud]
address = %q
`

// EntrySettings returns the settings file of an entry host on loopback. The
// cloud's address may be empty.
func EntrySettings(host, dataCentre, platform, cloud string, peers []string, grace clock.Millis) string {
	quotedPeers := make([]string, 0, len(peers))
	for _, peer := range peers {
		quotedPeers = append(quotedPeers, strconv.Quote(peer))
	}
	content := fmt.Sprintf(entryTemplate, host, dataCentre, OperatorToken, strings.Join(quotedPeers, ", "), platform, grace, Account, CallerKey)
	if cloud != "" {
		content += fmt.Sprintf(cloudTemplate, cloud)
	}
	return content
}

const stewardTemplate = `host = %q
dataCentre = %q
leaseMillis = 3000
roundMillis = 300
[platform]
address = %q
[cloud]
address = %q
[weightStore]
address = %q
`

const stewardEntryTemplate = `[entry]
address = %q
token = %q
`

// StewardSettings returns the settings file of a steward. The operators'
// address of the entry host beside it may be empty.
func StewardSettings(host, dataCentre, platform, cloud, weightStore, entry string) string {
	content := fmt.Sprintf(stewardTemplate, host, dataCentre, platform, cloud, weightStore)
	if entry != "" {
		content += fmt.Sprintf(stewardEntryTemplate, entry, OperatorToken)
	}
	return content
}
