package runnerhttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/runner"
)

// cacheEventStored is the kind of an event for a stored block. All other events are
// for removed blocks.
const cacheEventStored = "stored"

type cacheEventForm struct {
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"`
	Block    string `json:"block"`
}

type cacheEventsForm struct {
	Events []cacheEventForm `json:"events"`
}

// CacheEvents returns the changes of the server's prefix cache after the event with
// the sequence number. Some events may be missing.
func (client *Client) CacheEvents(ctx context.Context, server *backend.Server, after int64) ([]runner.CacheEvent, error) {
	address := "http://" + server.Address() + "/v1/cache-events?after=" + strconv.FormatInt(after, 10)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.http.Do(httpRequest)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read cache events: status %s", response.Status)
	}
	var form cacheEventsForm
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLineBytes)).Decode(&form); err != nil {
		return nil, errors.Wrap(err, "decode cache events")
	}
	events := make([]runner.CacheEvent, 0, len(form.Events))
	for _, event := range form.Events {
		block, err := strconv.ParseUint(event.Block, 16, 64)
		if err != nil {
			return nil, errors.Wrap(err, "decode the block hash of a cache event")
		}
		events = append(events, runner.NewCacheEvent(event.Sequence, block, event.Kind == cacheEventStored))
	}
	return events, nil
}
