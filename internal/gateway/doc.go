// Package gateway is the role that passes callers' requests straight to backend
// servers which admit, reserve and prove their answers themselves, so that no
// agent is needed beside them.
//
// It guarantees:
//   - A request that must not run twice is sent again only after proof that no
//     server began it.
//   - An answer reaches its caller only if it bears the request's id and the
//     server's proof, whole; one that breaks off doesn't look complete.
//   - "Not run" is said only if it holds for every sending of the request.
//   - Each request has its final answer by its route's timeout, and is given up
//     at the servers when its caller leaves.
//   - A server that is known to be leaving gets no new work.
//
// All state is in memory and can be lost at any time.
package gateway
