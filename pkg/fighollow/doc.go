// Package fighollow declares the data types, interfaces and errors that the parts of the serving system share.
//
// The platform (object API, engines, plain services) is reached through the interfaces of this package only;
// their implementations are below internal/. All types are plain data and safe to copy unless a comment says
// otherwise. Times on the wire are Unix times in milliseconds, token counts are whole tokens, sizes are bytes.
package fighollow
