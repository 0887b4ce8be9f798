// Package quota keeps organisations' quotas at a fleet of gateways. It does no I/O and
// reads no clock; times are readings of a clock that counts suspension.
//
// A quota is spent in tokens. Each gateway creates its fraction of an organisation's rate
// and may spend only tokens that it holds. Tokens move: a gateway that lacks some asks the
// organisation's pool, a gateway that all choose by rendezvous hashing, and the pool
// collects what the others don't use. Which gateway is the pool matters only for
// efficiency, so gateways that are cut off from each other simply pool what they create
// on their side.
//
// The package guarantees, under any loss, delay and repetition of messages and any
// restart:
//   - A token is spent at most once. Its holder gives it up before it sends it, and an
//     answer counts once, for an ask that its receiver itself still remembers.
//   - A token is spent within Limit.lifetime of its creation. The receiver counts its
//     life from when it asked, which is before the token was sent.
//   - So in any window w an organisation spends at most f*(rate*w + burst + spare) tokens,
//     where f is the sum of the fractions at which gateways create and spare is part of
//     the tolerance. Shares keeps f at 1, or at 1.1 in the cases that it names. Start
//     credits come on top, one of each gateway at most.
//
// Requests of one organisation may differ in rank. While the organisation is short of tokens,
// more urgent ones spend first, across all gateways: only the pool grants tokens to less urgent
// ones, and it keeps a reserve of what more urgent ones are expected to use. Ranks decide who
// gets tokens, never how many there are, so the guarantees above don't depend on them.
package quota
