package cookie

import "github.com/fescueshed/fescueshed/internal/version/registry"

// Registration returns the list's latest entry of the upstream that could be used.
func (u *Upstream) Registration() registry.Registration { return u.registration }
