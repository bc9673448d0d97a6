package operatorhttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/placement/placementhttp"
	"sapphirehead/internal/response"
)

// millis names the type where a parameter shadows the package clock.
type millis = clock.Millis

// Where asks the node with the metrics address where the described request would go now.
// Errors: *UnreachableError, *RefusedError.
func Where(ctx context.Context, address string, query placementhttp.Query, clock *clock.Clock, timeout millis) (placementhttp.Answer, error) {
	ctx, cancel := clock.WithTimeout(ctx, timeout)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+placementhttp.Path+"?"+query.Encode(), nil)
	if err != nil {
		return placementhttp.Answer{}, errors.Wrap(err, "create a request")
	}
	response, err := (&http.Client{Transport: response.NewTransport(&http.Transport{DisableKeepAlives: true})}).Do(message)
	if err != nil {
		return placementhttp.Answer{}, &UnreachableError{address: address, cause: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return placementhttp.Answer{}, &UnreachableError{address: address, cause: err}
	}
	if response.StatusCode != http.StatusOK {
		problem := placementhttp.Problem{Type: http.StatusText(response.StatusCode)}
		if response.StatusCode == http.StatusBadRequest {
			err = json.Unmarshal(body, &problem)
		}
		if err != nil {
			return placementhttp.Answer{}, &UnreachableError{address: address, cause: err}
		}
		return placementhttp.Answer{}, &RefusedError{status: response.StatusCode, kind: problem.Type, message: problem.Reason}
	}
	var answer placementhttp.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, &UnreachableError{address: address, cause: err}
	}
	return answer, nil
}
