package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// part is a part of a process.
type part struct {
	name string
	// run runs until ctx ends.
	run func(ctx context.Context) error
}

// run runs the role until ctx ends or another part fails, and the role has stopped
// gracefully. The parts that the role depends on (such as the feed and the operator
// listener) run alongside it and are stopped after it. One line of the log says why the
// process stops, and the last one that it has ended, with the same cause.
func run(ctx context.Context, log *logrus.Logger, role part, others ...part) error {
	began := time.Now()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	unhook := context.AfterFunc(ctx, func() {
		log.WithFields(logrus.Fields{"part": "daemon", "role": role.name, "cause": context.Cause(ctx).Error()}).Info("daemon: stopping.")
	})
	defer unhook()
	othersCtx, stopOthers := context.WithCancel(context.Background())
	defer stopOthers()
	var g errgroup.Group
	for _, p := range others {
		g.Go(func() error { return fail(stop, p.name, p.run(othersCtx)) })
	}
	g.Go(func() error {
		defer stopOthers()
		return fail(stop, role.name, role.run(ctx))
	})
	err := g.Wait()
	end := log.WithFields(logrus.Fields{"part": role.name, "uptime": time.Since(began).String()})
	if cause := context.Cause(ctx); cause != nil {
		end = end.WithField("cause", cause.Error())
	}
	level := logrus.InfoLevel
	if err != nil {
		level = logrus.ErrorLevel
	}
	end.Log(level, role.name+": ended.")
	return err
}

// fail stops the process if a part has failed, and returns the error with the part's name.
func fail(stop context.CancelCauseFunc, name string, err error) error {
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	err = eris.Wrapf(err, "%s failed", name)
	stop(err)
	return err
}
