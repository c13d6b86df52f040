// Package steps starts the components of a process one after the other and stops them in
// reverse order.
package steps

import "context"

// Step starts a component that runs until the returned clean-up function is called.
type Step func(context.Context) (func(), error)

// Run executes the steps in order. If one fails, Run cleans up those before it and returns the
// error. The returned clean-up function cancels the context that was passed to the steps, then
// calls the clean-up functions of all steps, the last one first.
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
