// Package origin knows which software version of a service's servers began a stream. A
// stream must not go on at another one, and the gateway that began it may be gone when its
// caller comes back.
//
// A gateway that reads a stream's first event tells a few gateways, which are chosen by the
// stream's id among all, before it passes the event on. One that needs to know asks them.
//
// It guarantees:
//   - A record that is found was written by the gateway that read the first event.
//   - A question takes MaxWait at most.
//   - Records are bounded in number and in time. All can be lost at any time: a stream that
//     isn't known doesn't go on, unless one version alone may have begun it (History).
package origin
