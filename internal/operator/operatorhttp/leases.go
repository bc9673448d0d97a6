package operatorhttp

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator"
)

type leaseForm struct {
	Name       string `json:"name"`
	Holder     string `json:"holder"`
	Held       bool   `json:"held"`
	Fence      int64  `json:"fence,omitempty"`
	LeftMillis int64  `json:"leftMillis,omitempty"`
	Rank       int    `json:"rank"`
}

type leasesForm struct {
	Leases []leaseForm `json:"leases"`
}

// StewardRouter returns the HTTP routes of a steward's operators' address:
// metrics and leases. Calls without the token are refused and reported to
// refuse.
func StewardRouter(token string, leases func() []operator.LeaseStatus, refuse func(remote, reason string)) http.Handler {
	handler := &Handler{token: token, refuse: refuse}
	router := mux.NewRouter()
	router.Use(handler.authorize)
	router.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	router.HandleFunc("/admin/v1/leases", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, leasesFormOf(leases()))
	}).Methods(http.MethodGet)
	return router
}

func leasesFormOf(leases []operator.LeaseStatus) leasesForm {
	form := leasesForm{Leases: []leaseForm{}}
	for _, lease := range leases {
		form.Leases = append(form.Leases, leaseForm{
			Name: lease.Name(), Holder: lease.Holder(), Held: lease.Held(), Fence: lease.Fence(), LeftMillis: int64(lease.Left()), Rank: lease.Rank(),
		})
	}
	return form
}

// Leases returns the report of a steward about the leases that it follows.
func (client *Client) Leases(ctx context.Context) ([]operator.LeaseStatus, error) {
	body, err := client.call(ctx, http.MethodGet, "/leases", nil)
	if err != nil {
		return nil, err
	}
	var form leasesForm
	if err := json.Unmarshal(body, &form); err != nil {
		return nil, errors.Wrap(err, "decode leases")
	}
	leases := make([]operator.LeaseStatus, 0, len(form.Leases))
	for _, lease := range form.Leases {
		status := operator.NewLeaseStatus(lease.Name, lease.Holder, lease.Rank)
		if lease.Held {
			status = status.WithHolding(lease.Fence, clock.Millis(lease.LeftMillis))
		}
		leases = append(leases, status)
	}
	return leases, nil
}
