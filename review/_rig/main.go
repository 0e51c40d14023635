// Command rig runs the scripted cases of this review. It starts the load balancer's own program as separate processes
// on loopback addresses, with stand-ins for the platform, the operators, the appliances and the clients.
//
//	rig SCENE RECORD
//
// The exit code is 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in
// the environment a scene leaves out its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scene plays a case. It returns whether the rule was broken.
type scene func(s *system) (broken bool, err error)

var scenes = map[string]struct {
	limits map[string]string // entries of limitsTable that differ from those of the small sites
	play   scene
}{
	"leeway":     {map[string]string{"leeway": "10s", "inTouch": "6000ms", "empty": "5000ms", "apply": "5000ms"}, playLeeway},
	"sameplace":  {nil, playSamePlace},
	"evacuation": {nil, playEvacuation},
}

// limitOfRun is below the 120 seconds that a case may take.
const limitOfRun = 110 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig SCENE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordPath string) (code int) {
	chosen, known := scenes[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such scene:", name)
		return 2
	}
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	s, err := newSystem(record, chosen.limits)
	if err != nil {
		record.note("could not run: %v", err)
		return 2
	}
	defer s.stop()
	giveUp := func(reason string) {
		record.note("could not run: %s", reason)
		s.stop()
		os.Exit(2)
	}
	time.AfterFunc(limitOfRun, func() { giveUp("out of time") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { giveUp((<-signals).String()) }()
	record.note("scene %s, disruption: %v", name, trouble())
	broken, err := chosen.play(s)
	switch {
	case err != nil:
		record.note("could not run: %v", err)
		return 2
	case broken:
		record.note("RULE BROKEN")
		return 1
	}
	record.note("the rule held")
	return 0
}

// trouble reports whether the disruption takes place.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }
