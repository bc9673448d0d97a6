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

// maxStateBytes bounds a runner's report of its condition.
const maxStateBytes = 1 << 20

type modelForm struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

type orderForm struct {
	Fence  int64       `json:"fence"`
	Models []modelForm `json:"models"`
	Role   string      `json:"role"`
}

// Order sends an order. Errors: *runner.OldFenceError.
func (client *Client) Order(ctx context.Context, server *backend.Server, order runner.Order) error {
	form := orderForm{Fence: order.Fence(), Role: order.Role(), Models: []modelForm{}}
	for _, model := range order.Models() {
		form.Models = append(form.Models, modelForm{Name: model.Name(), Version: model.Version(), Adapters: model.Adapters()})
	}
	body, err := json.Marshal(form)
	if err != nil {
		return err
	}
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address()+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := client.http.Do(message)
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	defer answer.Body.Close()
	switch answer.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return runner.NewOldFenceError(order.Fence())
	default:
		return errors.Errorf("order: status %s", answer.Status)
	}
}

// State asks a runner for its condition.
func (client *Client) State(ctx context.Context, server *backend.Server) (runner.State, error) {
	message, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address()+"/v1/state", nil)
	if err != nil {
		return runner.State{}, err
	}
	answer, err := client.http.Do(message)
	if err != nil {
		return runner.State{}, errors.Wrap(err, "ask for the runner's state")
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxStateBytes))
	if err != nil {
		return runner.State{}, errors.Wrap(err, "read the runner's state")
	}
	var form orderForm
	if err := json.Unmarshal(data, &form); err != nil {
		return runner.State{}, errors.Wrap(err, "decode the runner's state")
	}
	models := make([]pool.Model, 0, len(form.Models))
	for _, model := range form.Models {
		models = append(models, pool.NewModel(model.Name, model.Version, model.Adapters...))
	}
	return runner.NewState(form.Fence, models, form.Role), nil
}
