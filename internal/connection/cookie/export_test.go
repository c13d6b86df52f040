package cookie

import "github.com/fescueshed/fescueshed/internal/version/registry"

// Entry returns the list's latest entry of the upstream that could be used.
func (u *Upstream) Entry() registry.Registration { return u.entry }
