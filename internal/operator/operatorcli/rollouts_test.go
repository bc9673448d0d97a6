package operatorcli_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"sapphirehead/internal/operator/operatorcli"
)

// TestRollouts guards against a rollout whose state, evidence or reason operators don't see.
func TestRollouts(t *testing.T) {
	serve := func(t *testing.T, body string) (address string) {
		t.Helper()
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path != "/rollouts" {
				writer.WriteHeader(http.StatusNotFound)
				return
			}
			writer.Write([]byte(body))
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	fixture := newFixture(t)
	t.Run("a rollout", func(t *testing.T) {
		address := serve(t, `{"host":"edge-1","on":true,"rollouts":[{"pool":"app","version":"v2","state":"serving","share":0.08,
			"durationMillis":12000,"leftMillis":7400,"reason":"2 servers of the version joined","waiting":"evidence is gathered","halted":true,
			"servers":[{"version":"v1","servers":3}],
			"routes":[{"route":"look","ordered":{"answers":41,"failed":2,"slow":1,"crashes":1.5},"others":{"answers":607}}]}]}`)
		for _, text := range []string{
			"app to v2: serving, share 0.08, 7.4 s of 12.0 s left", "reason: 2 servers of the version joined", "waiting: evidence is gathered",
			"no more requests", "3 servers of v1", "look   v2       41       2       1     1.5", "look   others   607      0       0     0.0",
		} {
			fixture.expectExit(t, operatorcli.ExitOK, text, "rollouts", "--at", address)
		}
		fixture.expectExit(t, operatorcli.ExitOK, `"share": 0.08`, "rollouts", "--at", address, "-o", "json")
	})
	t.Run("none", func(t *testing.T) {
		fixture.expectExit(t, operatorcli.ExitOK, "edge-1 knows no rollouts", "rollouts", "--at", serve(t, `{"host":"edge-1","on":true}`))
	})
	t.Run("off", func(t *testing.T) {
		fixture.expectExit(t, operatorcli.ExitOK, "rollouts are off", "rollouts", "--at", serve(t, `{"host":"edge-1"}`))
	})
	t.Run("no node", func(t *testing.T) {
		fixture.expectExit(t, operatorcli.ExitUnreachable, "no answer", "rollouts", "--at", "127.0.0.1:1")
	})
	t.Run("no address", func(t *testing.T) { fixture.expectExit(t, operatorcli.ExitUsage, "--at", "rollouts") })
}
