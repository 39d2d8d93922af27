package settings

import (
	"fmt"
	"os"
)

// LoadEntry reads and validates the settings file of an entry. If the file is readable but
// invalid, the error wraps Errors.
func LoadEntry(path string) (Entry, error) {
	return load(path, ParseEntry)
}

// LoadAgent reads and validates the settings file of an agent. If the file is readable but
// invalid, the error wraps Errors.
func LoadAgent(path string) (Agent, error) {
	return load(path, ParseAgent)
}

func load[T any](path string, parse func([]byte) (T, error)) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, err
	}
	v, err := parse(data)
	if err != nil {
		return v, fmt.Errorf("%s:\n%w", path, err)
	}
	return v, nil
}

// ParseEntry decodes and validates the settings of an entry. The error is of type Errors.
func ParseEntry(data []byte) (Entry, error) {
	e := Entry{DrainSeconds: DefaultDrainSeconds}
	source, errs := DecodeWithSourceMap(data, &e)
	if e.Advertise == "" {
		e.Advertise = e.LinkAddress
	}
	c := NewChecker(source, errs)
	e.check(c)
	return e, c.Errors().Err()
}

// ParseAgent decodes and validates the settings of an agent. The error is of type Errors.
func ParseAgent(data []byte) (Agent, error) {
	var a Agent
	source, errs := DecodeWithSourceMap(data, &a)
	c := NewChecker(source, errs)
	a.check(c)
	return a, c.Errors().Err()
}
