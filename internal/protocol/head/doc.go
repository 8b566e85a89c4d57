// Package head checks the heads of HTTP answers before the HTTP library reads them. The library is lenient: it takes a status
// of zero for 200, and removes spaces from the names of fields. Whatever reads answers does so through this package, so that
// bytes whose head is no head of HTTP/1 are no answer anywhere.
package head
