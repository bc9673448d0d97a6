package runnerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/runner"
)

// maxStateBytes bounds the size of a runner's state report.
const maxStateBytes = 1 << 20

type modelForm struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// orderForm is the body of an order.
type orderForm struct {
	Fence  int64       `json:"fence"`
	Models []modelForm `json:"models"`
	Role   string      `json:"role"`
}

// stateForm is a runner's state report. Fields that the steward does not use are
// omitted.
type stateForm struct {
	Fence   int64       `json:"fence"`
	Models  []modelForm `json:"models"`
	Role    string      `json:"role"`
	Running int         `json:"running"`
	Queued  int         `json:"queued"`
}

// permittedBody is the body of an order. It calls permit before the first byte is
// sent, so that a process that was paused while it opened the connection sends
// nothing under an expired lease.
type permittedBody struct {
	permit  func() bool
	reader  *bytes.Reader
	checked bool
}

func newPermittedBody(permit func() bool, data []byte) *permittedBody {
	return &permittedBody{permit: permit, reader: bytes.NewReader(data)}
}

// Read reads the order if permit returned true.
func (body *permittedBody) Read(buffer []byte) (int, error) {
	if !body.checked && !body.permit() {
		return 0, runner.NewNotPermittedError()
	}
	body.checked = true
	return body.reader.Read(buffer)
}

// Order sends an order if permit returns true at the time of sending. Errors:
// *runner.NotPermittedError, *runner.StaleFenceError.
func (client *Client) Order(ctx context.Context, server *backend.Server, order runner.Order, permit func() bool) error {
	form := orderForm{Fence: order.Fence(), Role: order.Role(), Models: []modelForm{}}
	for _, model := range order.Models() {
		form.Models = append(form.Models, modelForm{Name: model.Name(), Version: model.Version(), Adapters: model.Adapters()})
	}
	body, err := json.Marshal(form)
	if err != nil {
		return err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address()+"/v1/orders", newPermittedBody(permit, body))
	if err != nil {
		return err
	}
	httpRequest.ContentLength = int64(len(body))
	response, err := client.http.Do(httpRequest)
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return runner.NewStaleFenceError(order.Fence())
	default:
		return errors.Errorf("order: status %s", response.Status)
	}
}

// State requests the state of a runner.
func (client *Client) State(ctx context.Context, server *backend.Server) (runner.State, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address()+"/v1/state", nil)
	if err != nil {
		return runner.State{}, err
	}
	response, err := client.http.Do(httpRequest)
	if err != nil {
		return runner.State{}, errors.Wrap(err, "request the runner's state")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return runner.State{}, errors.Errorf("state: status %s", response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return runner.State{}, errors.Wrap(err, "read the runner's state")
	}
	var form stateForm
	if err := json.Unmarshal(data, &form); err != nil {
		return runner.State{}, errors.Wrap(err, "decode the runner's state")
	}
	models := make([]pool.Model, 0, len(form.Models))
	for _, model := range form.Models {
		models = append(models, pool.NewModel(model.Name, model.Version, model.Adapters...))
	}
	return runner.NewState(form.Fence, models, form.Role).WithLoad(form.Running, form.Queued), nil
}
