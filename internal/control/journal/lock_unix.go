//go:build unix

package journal

import (
	"os"
	"syscall"
)

// lock takes an exclusive lock that is released when the process ends.
func lock(f *os.File) error {
	return syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}
