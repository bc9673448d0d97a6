package harness

import (
	"fmt"
	"strconv"
	"strings"

	"sapphirehead/internal/clock"
)

// Names and secrets in the generated settings files.
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

// EntrySettings returns the content of an entry host's settings file, with
// listeners on loopback. An empty cloud address omits the cloud section.
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

// StewardSettings returns the content of a steward's settings file. The entry
// address is the operators' address of the entry host beside the steward; if it
// is empty, the entry section is omitted.
func StewardSettings(host, dataCentre, platform, cloud, weightStore, entry string) string {
	content := fmt.Sprintf(stewardTemplate, host, dataCentre, platform, cloud, weightStore)
	if entry != "" {
		content += fmt.Sprintf(stewardEntryTemplate, entry, OperatorToken)
	}
	return content
}
