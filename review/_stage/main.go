// Program stage plays the cases of a review: it starts the load balancer's programs as processes on loopback addresses,
// with stand-ins of its own for clients, appliances and the operator.
//
//	stage SCENE RECORD    exits with 1 if the rule was broken, 0 if it held, 2 if the scene couldn't be played
//
// With TROUBLE=0 in the environment, the scene is played without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenes plays a scene and returns the breaks of the rule.
var scenes = map[string]func(f *fleet, trouble bool) (breaks []string){
	"reader": stalledReaders,
	"upload": stalledAppliances,
	"limits": keptLimits,
	"steady": steadyUploads,
	"text":   foreignText,
}

func main() { os.Exit(play()) }

func play() (status int) {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage SCENE RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("scene %s, disruption: %v", os.Args[1], trouble)
	var f *fleet
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { // ends all that was started, also if the scene takes too long or is broken off
		select {
		case <-signals:
		case <-time.After(110 * time.Second):
		}
		rec.say("broken off, or over time")
		if f != nil {
			f.stop()
		}
		os.Exit(2)
	}()
	defer func() {
		problem := recover()
		if f != nil {
			f.stop()
		}
		if reason, ok := problem.(cannotRun); ok {
			rec.say("cannot run: %s", reason.reason)
			fmt.Println("cannot run:", reason.reason)
			status = 2
		} else if problem != nil {
			panic(problem)
		}
	}()
	f = newFleet(rec)
	breaks := scenes[os.Args[1]](f, trouble)
	for _, text := range breaks {
		rec.say("BROKEN: %s", text)
		fmt.Println("BROKEN:", text)
	}
	if len(breaks) > 0 {
		return 1
	}
	rec.say("the rule held")
	fmt.Println("the rule held")
	return 0
}
