// Package options fills in the defaults of options structs.
package options

// Number is the kind of field whose zero and negative values mean the default.
type Number interface {
	~int | ~int64 | ~uint64 | ~float64
}

// Default gives a field that is not positive its default.
func Default[T Number](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
