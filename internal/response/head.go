package response

import (
	"net/http"
	"strconv"
)

// place is the position of a headScanner within a head.
type place int

const (
	// placeBody: nothing is checked.
	placeBody place = iota
	placeProtocol
	placeBeforeStatus
	placeStatus
	placeReason
	placeLineStart
	placeLine
)

// maxQuoted bounds the part of a head that an error quotes, in bytes.
const maxQuoted = 32

// headScanner checks the heads of one response: those of interim responses, and the final
// one.
type headScanner struct {
	place place
	// status is the status code, as far as it was read, and of the whole head after its line.
	status [maxQuoted]byte
	length int
}

// start begins a head with the next byte.
func (scanner *headScanner) start() { scanner.place, scanner.length = placeProtocol, 0 }

// scan checks the next bytes. If they can't be part of a response, it returns the number of
// bytes before that, and the error.
func (scanner *headScanner) scan(data []byte) (sound int, err error) {
	for i, char := range data {
		if scanner.place == placeBody {
			break
		}
		if err := scanner.next(char); err != nil {
			return i, err
		}
	}
	return len(data), nil
}

func (scanner *headScanner) next(char byte) error {
	switch scanner.place {
	case placeProtocol:
		// net/http refuses a first line without a blank.
		if char == ' ' {
			scanner.place = placeBeforeStatus
		}
	case placeBeforeStatus, placeStatus:
		return scanner.nextOfStatus(char)
	case placeLineStart:
		switch char {
		case '\n':
			scanner.end()
		case '\r':
		default:
			scanner.place = placeLine
		}
	default:
		if char == '\n' {
			scanner.place = placeLineStart
		}
	}
	return nil
}

func (scanner *headScanner) nextOfStatus(char byte) error {
	switch {
	case char == ' ' && scanner.place == placeBeforeStatus:
		return nil
	case char != ' ' && char != '\r' && char != '\n':
		scanner.place = placeStatus
		if scanner.length < maxQuoted {
			scanner.status[scanner.length] = char
			scanner.length++
		}
		return nil
	}
	if !isStatus(scanner.status[:scanner.length]) {
		return &StatusError{status: string(scanner.status[:scanner.length])}
	}
	scanner.place = placeReason
	if char == '\n' {
		scanner.place = placeLineStart
	}
	return nil
}

// end ends the head. Another one follows that of an interim response.
func (scanner *headScanner) end() {
	if scanner.status[0] == '1' {
		scanner.start()
		return
	}
	scanner.place = placeBody
}

// switchingProtocols is a final status, but no request asks for another protocol.
var switchingProtocols = strconv.Itoa(http.StatusSwitchingProtocols)

// isStatus reports whether the text is the status of an interim or final response.
func isStatus(text []byte) bool {
	if len(text) != 3 || text[0] < '1' || string(text) == switchingProtocols {
		return false
	}
	for _, char := range text {
		if char < '0' || char > '9' {
			return false
		}
	}
	return true
}

// StatusError reports a response whose status is no number from 100, or 101.
type StatusError struct{ status string }

// Status returns the beginning of the status, as received.
func (err *StatusError) Status() string { return err.status }

func (err *StatusError) Error() string {
	return "the response has the status " + strconv.Quote(err.status)
}
