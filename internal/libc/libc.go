// Package libc links the program against the system's C library, as the platform requires of every
// program that it runs.
package libc

// #include <unistd.h>
import "C"

// Pid returns the ID of this process, as reported by the C library.
func Pid() int { return int(C.getpid()) }
