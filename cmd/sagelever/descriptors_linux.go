package main

import (
	"os"
	"syscall"
)

// growDescriptorTable makes the table of descriptors as large as it may become. Linux doubles it as needed, and in a
// process of several threads it waits each time until no core reads the old one: 15 to 30 ms on an idle machine, a
// third of a second on a busy one, in which nothing is accepted or connected. At the start nobody waits.
func growDescriptorTable(capacity int) error {
	f, err := os.Open(os.DevNull)
	if err != nil {
		return err
	}
	defer f.Close()
	high, _, errno := syscall.Syscall(syscall.SYS_FCNTL, f.Fd(), syscall.F_DUPFD_CLOEXEC, uintptr(capacity-1))
	if errno != 0 {
		return errno
	}
	return syscall.Close(int(high))
}
