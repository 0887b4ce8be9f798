// Package split decides how many of a service's engines run prefill.
//
// The load pattern is demand that shifts between long prompts and long answers, that comes
// in waves of about ten seconds, and that has bursts of a few seconds. With a fixed split,
// prompts queue at the crest of a wave while decode engines have memory to spare. A change
// of stage takes an engine out of service for seconds, so the split can't follow a wave. It
// is sized for the crest instead, and a trough takes no engine away.
//
// The Controller is stepped with observations. It guarantees:
//
//   - The wanted number is between the shares of the options, and leaves each zone that has
//     two engines one of each stage where the shares allow it.
//   - More prefill engines are wanted only if prefills have taken a third of the objective on
//     average, and only while the expected prefill at the crest is longer than half of it. Until a
//     whole wave was seen, a multiple of the mean demand stands for the crest.
//   - Engines are taken from decode only if it keeps the memory that it needs, with a fifth to
//     spare, and from prefill only if decode lacks memory and prefill can spare them. The gap
//     between the two limits prevents oscillation.
//   - The wanted number changes at most once in twice the time of a change, by at most a tenth
//     of the engines.
//   - Without the demand of at least half of the gateways it doesn't change.
package split
