package settings

import (
	"fmt"
	"os"
)

// LoadEntry reads the settings file of an entry. Its error wraps Errors if the
// file could be read.
func LoadEntry(path string) (Entry, error) {
	return load(path, ParseEntry)
}

// LoadAgent reads the settings file of an agent. Its error wraps Errors if the
// file could be read.
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

// ParseEntry reads the settings of an entry. Its error is Errors.
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

// ParseAgent reads the settings of an agent. Its error is Errors.
func ParseAgent(data []byte) (Agent, error) {
	var a Agent
	source, errs := DecodeWithSourceMap(data, &a)
	c := NewChecker(source, errs)
	a.check(c)
	return a, c.Errors().Err()
}
