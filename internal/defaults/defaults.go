// Package defaults sets the defaults of values that a configuration leaves out.
package defaults

// Set replaces *p by value if *p is the zero value of its type.
func Set[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}
