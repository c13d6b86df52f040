package cookie

import "github.com/fescueshed/fescueshed/internal/version/registry"

// Registration returns the latest usable registration of the upstream.
func (u *Upstream) Registration() registry.Registration { return u.registration }
