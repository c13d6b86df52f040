// Package transfer watches over answers that take time to arrive. An answer is given up when it
// stops coming, not when it takes long: how long it may take depends on its size and on the link, and
// what is given up shortly before its end has to come once more. Each given-up answer makes the
// next one slower, until none arrives at all.
package transfer
