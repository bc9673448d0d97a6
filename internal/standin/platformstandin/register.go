package platformstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
)

// Register adds a host to the list of the platform stand-in at the address.
func Register(ctx context.Context, address string, host Host) error {
	body, err := json.Marshal(host)
	if err != nil {
		return err
	}
	return callControl(ctx, http.MethodPost, "http://"+address+"/control/hosts", body)
}

// Unregister removes a host from the list.
func Unregister(ctx context.Context, address, id string) error {
	return callControl(ctx, http.MethodDelete, "http://"+address+"/control/hosts/"+url.PathEscape(id), nil)
}

// InjectFault sets the failure mode of the platform stand-in at the address. The
// milliseconds are the delay of FaultSlow.
func InjectFault(ctx context.Context, address string, fault Fault, millis int64) error {
	body, err := json.Marshal(map[string]any{"fault": fault, "millis": millis})
	if err != nil {
		return err
	}
	return callControl(ctx, http.MethodPost, "http://"+address+"/control/fault", body)
}

func callControl(ctx context.Context, method, target string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "call the platform stand-in")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("platform stand-in: status %s", response.Status)
	}
	return nil
}
