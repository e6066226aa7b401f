// Package fighollow declares the data types, interfaces and errors that the parts of the serving system share.
//
// The system reaches the platform (object API, engines, plain services) only through the interfaces of this package,
// which packages below internal/ and platform/ implement. All types are plain data and safe to copy unless a comment
// says otherwise. Unless a comment gives another unit, times on the wire are Unix times in milliseconds, token counts
// are whole tokens and sizes are bytes.
package fighollow
