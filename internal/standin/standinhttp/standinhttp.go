// Package standinhttp has the functions that the stand-ins' HTTP servers share:
// reading and writing JSON bodies, and serving until a context ends.
package standinhttp

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 8 << 20

// Write sends a response with the status and the form as a JSON body.
func Write(writer http.ResponseWriter, status int, form any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	json.NewEncoder(writer).Encode(form)
}

// Read decodes the JSON body into the form. If that fails, it responds with status
// 400 and returns false.
func Read(writer http.ResponseWriter, request *http.Request, form any) bool {
	err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodyBytes)).Decode(form)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Serve serves the handler on the listener until the context ends, and then closes
// every connection.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// ServeGracefully serves the handler on the listener. When the context stop ends,
// it accepts no more connections and returns after the requests in progress have
// completed. If the context kill ends during that, it closes every connection.
func ServeGracefully(stop, kill context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	drained := make(chan struct{})
	cancelStop := context.AfterFunc(stop, func() {
		defer close(drained)
		if server.Shutdown(kill) != nil {
			server.Close()
		}
	})
	err := server.Serve(listener)
	if cancelStop() || !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-drained
	return nil
}
