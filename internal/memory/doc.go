// Package memory accounts for the memory that callers, or the answers of servers, take up in a
// process. Bytes are charged before they are allocated. For answers that arrive holds what is said
// of requests.
//
// It guarantees:
//   - The requests that are still arriving and those that are being served never hold more than
//     their two limits. Neither can use up the limit of the other.
//   - When arriving requests need more than is free, those give way that have held most for longest.
//     A request that holds little or has only begun doesn't give way to them.
//   - A request that has arrived is admitted or refused at once.
package memory
