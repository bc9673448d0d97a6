package weightstorehttp_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/response"
	"sapphirehead/internal/standin/brokenstandin"
	"sapphirehead/internal/weightstore/weightstorehttp"
)

// expectBroken requests a permission, and checks that it fails with an error of the type
// after the answer.
func expectBroken[E error](t *testing.T, answer brokenstandin.Answer) {
	t.Helper()
	server, err := brokenstandin.New(answer)
	require.NoError(t, err)
	defer server.Close()
	var broken E
	require.ErrorAs(t, weightstorehttp.New(server.Address(), clock.System(), clock.Second).Reserve(t.Context(), "m", "1"), &broken)
}

// TestBrokenStatus guards against a response without a final status that is taken for one.
func TestBrokenStatus(t *testing.T) {
	for name, answer := range brokenstandin.BrokenStatuses("", "") {
		t.Run(name, func(t *testing.T) { expectBroken[*response.StatusError](t, answer) })
	}
}

// TestBrokenFieldName guards against a response in whose head the name of a field is none.
func TestBrokenFieldName(t *testing.T) {
	for name, answer := range brokenstandin.BrokenNames("", "") {
		t.Run(name, func(t *testing.T) { expectBroken[*response.FieldNameError](t, answer) })
	}
}
