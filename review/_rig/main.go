// The rig plays the cases of the review that can't be put as a day: it starts gateways as
// separate processes, with stand-ins of the platform's store, servers and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

var cases = map[string]func(dir string, log *record, trouble bool) (broken bool, err error){
	"config-backlog":      backlogNeverFits,
	"descriptors":         releasesUseUpDescriptors,
	"followers-cut":       followersCut,
	"store-silent":        storeChannelsSilent,
	"stop-cuts-late-call": stopCutsLateCall,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	log, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if keep := os.Getenv("RIG_DIR"); keep != "" {
		dir = keep
	} else {
		defer os.RemoveAll(dir)
	}
	go endEarly()
	broken, err := cases[name](dir, log, os.Getenv("TROUBLE") != "0")
	started.kill()
	switch {
	case err != nil:
		log.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		log.add("result: the rule was broken")
		return exitBroken
	}
	log.add("result: the rule held")
	return exitHeld
}

// endEarly ends all processes on a signal, and when a case takes too long.
func endEarly() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-c:
	case <-time.After(maxTime):
	}
	started.kill()
	os.Exit(exitNotRun)
}
