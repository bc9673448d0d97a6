package operatorcli

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"sapphirehead/internal/caller"
)

// maxKeyBytes limits the length of a key or token.
const maxKeyBytes = 4096

// HashKeyCommand prints the hash of a key or token. It reads standard input, so that
// the secret does not appear in process lists or in the shell history.
type HashKeyCommand struct{}

type hashForm struct {
	Hash string `json:"hash"`
}

// Run prints the hash of the first line.
func (command *HashKeyCommand) Run(session *Session) error {
	line, err := bufio.NewReader(io.LimitReader(session.input, maxKeyBytes)).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	secret := strings.TrimRight(line, "\r\n")
	if secret == "" {
		return newUsageError("standard input holds no key: printf %s KEY | sapphirectl hash-key")
	}
	hash := caller.HashKey(secret)
	done, err := session.json(hashForm{Hash: hash})
	if !done {
		_, err = fmt.Fprintln(session.output, hash)
	}
	return err
}
