// Package program holds code that the programs' main packages share: signal handling
// and the output of the addresses on which a program listens.
package program

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Version is the version of the programs, set by the linker.
var Version = "development"

// listeningForm is the one line that a program prints once it listens.
type listeningForm struct {
	Listening map[string]string `json:"listening"`
}

// PrintListening prints the addresses on standard output as one line of JSON, so
// that the parent process can read the ports assigned for port 0.
func PrintListening(addresses map[string]string) {
	line, err := json.Marshal(listeningForm{Listening: addresses})
	if err == nil {
		fmt.Println(string(line))
	}
}

// ParseListening parses the line that PrintListening prints.
func ParseListening(line []byte) (map[string]string, bool) {
	var form listeningForm
	err := json.Unmarshal(line, &form)
	return form.Listening, err == nil && form.Listening != nil
}

// Signals returns a context that is cancelled by the first SIGTERM or SIGINT and one
// that is cancelled by a later SIGINT. A supervisor may repeat SIGTERM, which must not cut
// off the requests in progress.
func Signals() (stop, kill context.Context) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return contextsOf(signals)
}

func contextsOf(signals <-chan os.Signal) (stop, kill context.Context) {
	stop, cancelStop := context.WithCancel(context.Background())
	kill, cancelKill := context.WithCancel(context.Background())
	go func() {
		<-signals
		cancelStop()
		for received := range signals {
			if received == syscall.SIGINT {
				cancelKill()
				return
			}
		}
	}()
	return stop, kill
}

// Reloads returns a channel that receives a value for each SIGHUP, the signal to
// reload the settings. Several signals in a row may yield a single value.
func Reloads() <-chan struct{} {
	signals, reloads := make(chan os.Signal, 1), make(chan struct{}, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			select {
			case reloads <- struct{}{}:
			default:
			}
		}
	}()
	return reloads
}
