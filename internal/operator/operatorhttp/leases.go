package operatorhttp

import (
	"context"
	"expvar"
	"net/http"

	"github.com/gorilla/mux"

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

// StewardRouter returns the HTTP routes of a steward's API for operators: metrics and
// leases. Calls without a token are refused and reported to refuse.
func StewardRouter(
	token func(given string) (operator.Token, bool), leases func() []operator.LeaseStatus, refuse func(remote, operator, reason string),
) http.Handler {
	handler := &Handler{token: token, refuse: refuse}
	handler.leases = func(context.Context) ([]operator.LeaseStatus, error) { return leases(), nil }
	router := mux.NewRouter()
	router.Handle("/debug/vars", handler.authorize(false, expvar.Handler())).Methods(http.MethodGet)
	router.Handle("/admin/v1/leases", handler.authorize(false, http.HandlerFunc(handler.serveLeases))).Methods(http.MethodGet)
	return router
}

func leasesFormOf(leases []operator.LeaseStatus) leasesForm {
	form := leasesForm{Leases: []leaseForm{}}
	for _, lease := range leases {
		form.Leases = append(form.Leases, leaseForm{
			Name: lease.Name(), Holder: lease.Holder(), Held: lease.Held(), Fence: lease.Fence(), LeftMillis: int64(lease.Remaining()), Rank: lease.Rank(),
		})
	}
	return form
}

// Leases returns the leases as the entry host reads them from the platform, or as the
// steward observes them.
func (client *Client) Leases(ctx context.Context) ([]operator.LeaseStatus, error) {
	var form leasesForm
	if err := client.read(ctx, "/leases", &form); err != nil {
		return nil, err
	}
	leases := make([]operator.LeaseStatus, 0, len(form.Leases))
	for _, lease := range form.Leases {
		status := operator.NewLeaseStatus(lease.Name, lease.Holder, lease.Rank).WithFence(lease.Fence)
		if lease.Held {
			status = status.WithHolding(lease.Fence, clock.Millis(lease.LeftMillis))
		}
		leases = append(leases, status)
	}
	return leases, nil
}
