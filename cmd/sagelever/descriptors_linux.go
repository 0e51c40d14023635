package main

import (
	"os"
	"syscall"
)

// growDescriptorTable makes the process's table of file descriptors hold a capacity at once. Linux doubles the table
// as needed, and in a process of several threads it waits each time until no core reads the old table: 15 to 30 ms on
// an idle machine, a third of a second on a busy one, in which nothing is accepted or connected. At the start nobody
// waits.
func growDescriptorTable(capacity int) error {
	null, err := os.Open(os.DevNull)
	if err != nil {
		return err
	}
	defer null.Close()
	// A duplicate with a high number makes the table grow; closing it does not shrink the table.
	highest := uintptr(capacity - 1)
	duplicate, _, errno := syscall.Syscall(syscall.SYS_FCNTL, null.Fd(), syscall.F_DUPFD_CLOEXEC, highest)
	if errno != 0 {
		return errno
	}
	return syscall.Close(int(duplicate))
}
