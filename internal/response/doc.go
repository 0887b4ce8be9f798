// Package response decides what an HTTP/1 response is, for all clients of a process. The HTTP
// libraries that parse responses are lenient, each in its own way, so a head is checked before a
// library gets it.
//
// It guarantees:
//   - What a library reads as a head has the grammar of RFC 9112 and the status of a response (RFC
//     9110, section 15).
//   - Bytes that can't become a response are ErrMalformed as soon as the line that shows it has
//     arrived, or its first bytes if that is no status line.
//   - No more of a head is kept than maxHeadBytes.
//
// Bodies are left to the libraries.
package response
