//go:build faultydisk

package storage

import (
	"os"
	"strings"
	"syscall"
)

// faultFileVariable is the environment variable with the path of a file that lists the operations
// that fail, separated by spaces. None fails while there is no such file.
const faultFileVariable = "DAISYGATE_FAULTY_DISK"

// injectFault returns an error if the operation is listed.
func injectFault(op operation) error {
	list, err := os.ReadFile(os.Getenv(faultFileVariable))
	if err != nil {
		return nil
	}
	for _, listed := range strings.Fields(string(list)) {
		if operation(listed) == op {
			return syscall.ENOSPC
		}
	}
	return nil
}
