// Package gateway implements the role that routes callers' requests directly to
// backend servers. The servers do their own admission control and reservations and
// prove their identity in each answer, so no agent runs beside them.
//
// It guarantees:
//   - A non-idempotent request is retried only after proof that no server began it.
//   - An answer reaches its caller only if it carries the request's id and the
//     server's proof; a truncated one never looks complete.
//   - The verdict "not run" is given only if it holds for every attempt of the
//     request.
//   - Each request has its final answer by its route's timeout, and is cancelled at
//     the servers when its caller disconnects.
//   - A server that is known to be draining, from its entry or its answers, gets no new
//     work; one that has asked for a pause gets nothing until its end.
//   - In any window all gateways together send a service a bounded number of arrivals beyond
//     the first of each request. Each is taken from the budget before it is sent.
//   - A request that crashes the servers that run it is refused by all gateways, and so are those
//     whose prompts have a part that does.
//   - What is read from a server is bounded in bytes and time.
//   - What callers make it hold is charged to an account before it is allocated, which follows from
//     the memory of its machine.
//   - A stream that has begun goes on only at the software version that began it.
//   - A server's silence ends no stream: a server runs its request until it has broken off, the
//     request's deadline has passed, its caller has left, or another server has the next event.
//
// All state is in memory and can be lost at any time, except which requests and parts of prompts
// crash servers: that is part of the gateways' objects in the platform.
package gateway
