// Package options sets default values in options structs.
package options

// Number is a type of option for which zero and negative values mean the default.
type Number interface {
	~int | ~int64 | ~uint64 | ~float64
}

// Default sets *field to value if it is zero or negative.
func Default[T Number](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
