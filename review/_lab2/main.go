// The stand-ins and the scenarios of the second review's scripts: a platform's store, application
// servers and clients, which start the project's own nodes as processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: lab2 SCENARIO ROOT RECORD")
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		finish(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecorder(os.Args[3])
	cleanups = append(cleanups, rec.Close)
	switch os.Args[1] {
	case "latebeat":
		runLateBeat(os.Args[2], rec, trouble)
	case "config":
		runConfig(os.Args[2], rec, trouble)
	default:
		fail("unknown scenario %s", os.Args[1])
	}
}
