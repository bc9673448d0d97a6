package quarantine

import "github.com/cespare/xxhash/v2"

// Fingerprint returns the hash of what a repeated request has in common with the first
// one: all but its id and the caller's other headers. Fields are strings such as method,
// host, target and client account. It is never 0.
func Fingerprint(body []byte, fields ...string) uint64 {
	digest := xxhash.New()
	for _, field := range fields {
		// xxhash returns no errors.
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return max(1, digest.Sum64())
}
