// Package confirm decides as of when a gateway's copy of stored objects is known to lack no
// change, by what its own calls to the store and other gateways show.
//
// The load patterns: gateways that others follow are cut off from the store, and can't know that
// until a watch times out, while a server leaves. And a store that refuses some gateways, or all
// of them for some seconds, while requests bear keys that may be relied on for a few seconds
// only: each gateway's own last confirmation is up to a held watch old when that begins, the freshest
// one in the fleet is a fraction of a second old.
//
// A gateway whose confirmation is old asks some peers. An answer says that the answerer's copy,
// whose newest change has a certain revision, lacked no change at some moment at most so long
// before the answer was made. The asker counts that from when it sent the question, on its own
// clock. To keep the fleet's confirmations fresh, few of its gateways poll the store, whatever its
// size, and a gateway that their confirmations don't reach polls for itself. Ages has the ages
// from which it does what.
//
// It guarantees, if revisions only rise and clocks run at the same rate:
//   - At ConfirmedAt(kind), the store held no change of the kind that the copy passed to
//     Applied lacks. Loss, delay, repetition and reordering of messages, freezes and clock
//     offsets only make that moment earlier.
//   - A kind whose confirmation is older than its Ages.OwnPoll is due for a poll at each Tick.
//   - A message confirms only as the answer to a question that is open, from the peer that was
//     asked, within questionTTL, and once.
//   - A malformed message changes nothing.
//
// It is not safe for concurrent use.
package confirm
