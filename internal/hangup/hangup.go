// Package hangup keeps SIGHUPs from ending a gateway from the start of its program.
//
// A SIGHUP may be sent as soon as the process exists. It is ignored from before the Go
// runtime starts, and caught once this package is initialised. This package depends on a
// few of the standard library only, so it is initialised before most others. An ignored
// SIGHUP loses no change of the settings, which are read later.
//
// Until the kernel has loaded the program, a SIGHUP ends the process unless its starter
// ignored the signal: an ignored signal stays ignored across exec.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// GatewayRole is the subcommand of gateways. Other roles are ended by a SIGHUP.
const GatewayRole = "gateway"

var caught = make(chan os.Signal, 1)

func init() {
	if len(os.Args) > 1 && os.Args[1] == GatewayRole {
		Catch()
	}
}

// Catch returns a channel that gets the process's SIGHUPs from now on, or from the
// initialisation of this package in a gateway. There is no signal.Stop: a SIGHUP during
// shutdown would then abort requests.
func Catch() <-chan os.Signal {
	signal.Notify(caught, syscall.SIGHUP)
	return caught
}
