// Package admission decides which new flows are refused while a service has too little capacity for
// all of its callers. Decisions are values in, values out: the package has no goroutine, lock or
// clock. docs/design/008-admission.md has the reasons.
package admission
