package response

import (
	"net/http"
	"strconv"
	"strings"
)

// place is where the next byte stands in a response.
type place int

const (
	// placeBody: behind the final head, where nothing is checked.
	placeBody place = iota
	placeProtocol
	placeBeforeStatus
	placeStatus
	placeReason
	placeLineStart
	// placeHeadEnd: after the carriage return of an empty line.
	placeHeadEnd
	placeName
	placeValue
)

// maxQuoted bounds the part of a head that an error quotes, in bytes.
const maxQuoted = 32

// headScanner checks the heads of one response: those of interim responses, and the final
// one.
type headScanner struct {
	place   place
	interim bool
	// word is the beginning of the status code or of the current field's name.
	word   [maxQuoted]byte
	length int
}

// start begins a head with the next byte.
func (scanner *headScanner) start() { scanner.place, scanner.length = placeProtocol, 0 }

// add adds a byte to the word.
func (scanner *headScanner) add(char byte) {
	if scanner.length < maxQuoted {
		scanner.word[scanner.length] = char
		scanner.length++
	}
}

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

// next checks the next byte of a head.
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
			scanner.place = placeHeadEnd
		default:
			return scanner.nextOfName(char)
		}
	case placeHeadEnd:
		if char != '\n' {
			scanner.add('\r')
			return scanner.nameError()
		}
		scanner.end()
	case placeName:
		return scanner.nextOfName(char)
	default:
		if char == '\n' {
			scanner.place, scanner.length = placeLineStart, 0
		}
	}
	return nil
}

// nextOfStatus checks a byte of the status code, of the blanks before it, or the one behind
// it.
func (scanner *headScanner) nextOfStatus(char byte) error {
	switch {
	case char == ' ' && scanner.place == placeBeforeStatus:
		return nil
	case char != ' ' && char != '\r' && char != '\n':
		scanner.place = placeStatus
		scanner.add(char)
		return nil
	}
	status := scanner.word[:scanner.length]
	if !isStatus(status) {
		return &StatusError{status: string(status)}
	}
	scanner.interim = status[0] == '1'
	scanner.place = placeReason
	if char == '\n' {
		scanner.place, scanner.length = placeLineStart, 0
	}
	return nil
}

// nextOfName checks a byte of a field's name. A line that begins with a blank has none: RFC
// 9112, section 5.2, forbids servers to fold lines, and lets a gateway refuse a response
// with such a line.
func (scanner *headScanner) nextOfName(char byte) error {
	if char == ':' && scanner.length > 0 {
		scanner.place = placeValue
		return nil
	}
	scanner.place = placeName
	scanner.add(char)
	if !isNameByte(char) {
		return scanner.nameError()
	}
	return nil
}

// nameError returns the error of the current name.
func (scanner *headScanner) nameError() error {
	return &FieldNameError{name: string(scanner.word[:scanner.length])}
}

// end ends the head. Another one follows that of an interim response.
func (scanner *headScanner) end() {
	scanner.place = placeBody
	if scanner.interim {
		scanner.start()
	}
}

// isNameByte reports whether the name of a field may have the byte.
func isNameByte(char byte) bool {
	switch {
	case 'a' <= char && char <= 'z', 'A' <= char && char <= 'Z', '0' <= char && char <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", char) >= 0
	}
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

// StatusError reports a response whose status is not a number of three digits from 100 on,
// or is 101.
type StatusError struct{ status string }

// Status returns the beginning of the status, as received.
func (err *StatusError) Status() string { return err.status }

func (err *StatusError) Error() string {
	return "the response has the status " + strconv.Quote(err.status)
}

// FieldNameError reports a response in whose head the name of a field is missing or has a
// byte that no name may have, such as a blank.
type FieldNameError struct{ name string }

// Name returns the beginning of the name, up to the first byte that it may not have.
func (err *FieldNameError) Name() string { return err.name }

func (err *FieldNameError) Error() string {
	return "the response has a header field whose name begins with " + strconv.Quote(err.name)
}
