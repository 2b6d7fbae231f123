// Package libc links the program against the system's C library, as the
// platform demands of every program it runs.
package libc

// #include <unistd.h>
import "C"

// Pid is this process's id, by way of the C library.
func Pid() int { return int(C.getpid()) }
