// Package transfer watches over answers that take time to arrive: how many bytes came, and
// whether they came to anything.
package transfer
