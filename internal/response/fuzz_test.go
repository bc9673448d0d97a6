package response_test

import (
	"bufio"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/response"
)

// soundHead is a head that a gateway may accept: a status from 100 to 999 but 101, then
// lines that each begin with a name and a colon. net/http decides on the rest.
var soundHead = regexp.MustCompile("^[^ \n]* +(1[1-9][0-9]|10[02-9]|[2-9][0-9][0-9])([ \r][^\n]*)?\n([!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\n]*\n)*\r?\n")

// isSound reports whether each head up to that of the final response is sound.
func isSound(text string) bool {
	for {
		head := soundHead.FindStringSubmatch(text)
		if head == nil {
			return false
		}
		if head[1][0] != '1' {
			return true
		}
		text = text[len(head[0]):]
	}
}

// readPlainly reads the response as net/http does, and returns its body.
func readPlainly(text string) (string, error) {
	reader := bufio.NewReader(strings.NewReader(text))
	for {
		head, err := http.ReadResponse(reader, nil)
		if err != nil {
			return "", err
		}
		if head.StatusCode >= http.StatusOK || head.StatusCode < http.StatusContinue {
			body, err := io.ReadAll(head.Body)
			return string(body), err
		}
	}
}

// FuzzHeads checks that a response is refused before net/http accepts it exactly if its
// head is not sound, and is else read as net/http reads it, however its bytes arrive.
func FuzzHeads(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok", 20)
	f.Add("HTTP/1.1 103 Wait\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1)
	f.Add("HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", 11)
	f.Add("HTTP/1.1 200 OK\r\nX-A: b\r\n c: d\r\nX Odd: a\r\n\r\n", 27)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		cut = min(max(cut, 0), len(text))
		left := []string{text[:cut], text[cut:]}
		if cut == 0 || cut == len(text) {
			left = []string{text}
		}
		want, wantErr := readPlainly(text)
		got, gotErr := readBody(left...)
		if wantErr == nil && !isSound(text) {
			var status *response.StatusError
			var name *response.FieldNameError
			require.True(t, errors.As(gotErr, &status) || errors.As(gotErr, &name), "%v", gotErr)
			return
		}
		if wantErr != nil {
			require.Error(t, gotErr)
			return
		}
		require.NoError(t, gotErr)
		require.Equal(t, want, got)
	})
}
