// Package logging makes the programs' logs: JSON lines by default, readable
// lines on a terminal. Field names are stable; docs/OPERATORS.md lists them.
package logging

import (
	"io"
	"os"

	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"
)

// Names of fields.
const (
	FieldProgram    = "program"
	FieldHost       = "host"
	FieldDataCentre = "dataCentre"
	FieldRequestID  = "requestId"
	FieldServer     = "backendServer"
)

// New returns a logger for the program on the host, without lines below the
// level. A terminal gets readable lines, anything else JSON.
func New(file *os.File, level, program, host, dataCentre string) zerolog.Logger {
	var writer io.Writer = file
	if isatty.IsTerminal(file.Fd()) {
		writer = zerolog.ConsoleWriter{Out: file}
	}
	least, err := zerolog.ParseLevel(level)
	if err != nil {
		least = zerolog.InfoLevel
	}
	return zerolog.New(writer).Level(least).With().Timestamp().
		Str(FieldProgram, program).Str(FieldHost, host).Str(FieldDataCentre, dataCentre).Logger()
}
