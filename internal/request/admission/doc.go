// Package admission checks what callers send and turns it into typed requests:
// whose they are, what they may cost at worst, and how urgent they are. The
// gateway calls it before anything is reserved.
package admission
