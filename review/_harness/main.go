// Command review-harness plays the cases of the review: it starts the programs of the deploy file as processes on
// loopback, with stand-ins for clients, appliances and the operator. It exits with 1 if a rule was broken, 0 if it held,
// and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun is the error of a case that couldn't run.
var errNotRun = errors.New("the case couldn't run")

// scene plays a case. trouble is false if the disruption is to be left out.
type scene func(f *fleet, trouble bool) (broken bool, err error)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-harness CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, folder string, trouble bool) int {
	play := map[string]scene{"late-order": lateOrder, "refused-part": refusedPart}[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	rec.say("case %s, disruption: %v", name, trouble)
	f, err := newFleet(rec)
	if err != nil {
		rec.say("couldn't run: %v", err)
		return exitNotRun
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		f.close()
		os.Exit(exitNotRun)
	}()
	time.AfterFunc(115*time.Second, func() {
		rec.say("couldn't run: out of time")
		rec.close()
		f.close()
		os.Exit(exitNotRun)
	})
	broken, err := play(f, trouble)
	switch {
	case err != nil:
		rec.say("couldn't run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was BROKEN")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
