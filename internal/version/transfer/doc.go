// Package transfer supervises answers that take time to arrive. A transfer is aborted when no more data arrives,
// rather than when it takes long: how long it may take depends on its size and on the link, and a transfer that is
// aborted shortly before its end has to be repeated. Each aborted transfer slows down the next one, until none
// completes.
package transfer
