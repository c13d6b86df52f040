// Package steps starts the parts of a process one after the other and ends them in
// the reverse order.
package steps

import "context"

// Step starts a part that lives until its clean-up function is called.
type Step func(context.Context) (func(), error)

// Run takes the steps in their order. If one fails, those before it are undone. The
// clean-up function undoes all, the last one first; the context that the steps got
// ends before.
func Run(ctx context.Context, list ...Step) (func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	cleanups := []func(){cancel}
	cleanup := func() {
		cancel()
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	for _, step := range list {
		stop, err := step(ctx)
		if err != nil {
			cleanup()
			return nil, err
		}
		cleanups = append(cleanups, stop)
	}
	return cleanup, nil
}
