package incident_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/incident"
)

func TestExplain(t *testing.T) {
	expectCause := func(t *testing.T, log string, cause incident.Cause, reason string) {
		t.Helper()
		explanation, err := incident.Explain("r-1", strings.NewReader(log))
		require.NoError(t, err)
		require.Equal(t, []string{cause.String(), reason}, []string{explanation.Cause().String(), explanation.Reason()})
	}
	t.Run("too late", func(t *testing.T) {
		expectCause(t, `{"host":"edge-1","requestId":"r-1","outcome":"tooLate","step":"refuse","leftMillis":5159,"message":"attempt ended"}
{"host":"edge-1","requestId":"r-1","status":503,"reason":"x","expectedMillis":578.6,"reads":16267,"message":"request"}`,
			incident.CauseTooLate, "the expected first event was 579 ms away, with 16267 prompt tokens to read")
	})
	t.Run("the server left", func(t *testing.T) {
		expectCause(t, `   3.1 edge-1 {"host":"edge-1","time":"10:00:01Z","backendServer":"i-1","message":"backend server leaves"}
   3.1 edge-2 {"host":"edge-2","time":"10:00:00Z","backendServer":"i-1","message":"backend server leaves"}
   3.1 edge-1 {"host":"edge-1","time":"10:00:00Z","backendServer":"i-2","message":"backend server leaves"}
   3.4 edge-1 {"host":"edge-1","requestId":"r-1","backendServer":"i-1","error":"unexpected EOF","message":"stream broke off"}
   3.4 edge-1 {"host":"edge-1","requestId":"r-1","backendServer":"i-1","outcome":"cut","step":"break","leftMillis":900,"message":"attempt ended"}
   3.4 edge-1 {"host":"edge-1","requestId":"r-1","status":599,"message":"request"}`,
			incident.CauseServerLeft, "server i-1: backend server leaves at 10:00:01Z")
	})
	t.Run("lines of other requests and bytes that are not a line", func(t *testing.T) {
		expectCause(t, "goroutine 1 [running]:\n{\"half\": \n{\"requestId\":\"r-2\",\"status\":503,\"message\":\"request\"}\n"+
			`{"requestId":"r-1","status":200,"message":"request"}`, incident.CauseNone, "the answer was passed on")
	})
	t.Run("a node that stops", func(t *testing.T) {
		expectCause(t, `{"requestId":"r-1","status":503,"reason":"this node is stopping","message":"request"}`,
			incident.CauseNodeUnready, "this node is stopping")
	})
}
