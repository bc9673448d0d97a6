package brokenstandin

import "strconv"

// BrokenStatuses returns answers with the header lines and the body whose status is that of
// no final response, by name.
func BrokenStatuses(lines, body string) map[string]Answer {
	answers := map[string]Answer{}
	for _, status := range []string{"000", "099", "101"} {
		answers["status "+status] = newHeadAnswer("HTTP/1.1 "+status+" Odd\r\n"+lines, body)
	}
	return answers
}

// BrokenNames returns answers with the header lines and the body that have a line without
// the name of a field, by that line.
func BrokenNames(lines, body string) map[string]Answer {
	answers := map[string]Answer{}
	for _, line := range []string{"X Odd: a", "X-Odd : a", "X-A: b\r\n X-Odd: a", "X\tOdd: a", "X\x00Odd: a"} {
		answers[line] = newHeadAnswer("HTTP/1.1 200 OK\r\n"+lines+line+"\r\n", body)
	}
	return answers
}

func newHeadAnswer(head, body string) Answer {
	return NewAnswer(head+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body, EndingKeep)
}
