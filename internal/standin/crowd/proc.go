package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// PeakMemory returns the largest resident memory that the process has had, in bytes.
func PeakMemory(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read the memory of a process")
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kilobytes << 10, errors.Wrap(err, "read the memory of a process")
		}
	}
	return 0, errors.Errorf("process %d has no peak memory", pid)
}

// Descriptors returns the number of file descriptors that the process has open.
func Descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), errors.Wrap(err, "list the descriptors of a process")
}
