package parser

import (
	"fmt"
	"net/netip"
	"reflect"
	"time"
)

// Duration is a duration with a unit, such as "320ms".
type Duration struct {
	time.Duration
	invalidText string
}

// UnmarshalText parses a duration. Invalid text is stored and reported with its line during validation, because the
// decoder gives no position for errors of this method.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	d.Duration = value
	if err != nil {
		d.invalidText = string(text)
	}
	return nil
}

// MarshalText formats a duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

func (d Duration) fault() (cause, valid string) {
	if d.invalidText == "" {
		return "", ""
	}
	return fmt.Sprintf("%q is not a duration", d.invalidText), "a number with a unit, such as \"320ms\" or \"2s\""
}

// Address is an IP address and port, such as "127.0.0.1:8080".
type Address struct {
	netip.AddrPort
	invalidText string
}

// UnmarshalText parses an address. Invalid text is stored and reported with its line during validation.
func (a *Address) UnmarshalText(text []byte) error {
	value, err := netip.ParseAddrPort(string(text))
	a.AddrPort = value
	if err != nil {
		a.invalidText = string(text)
	}
	return nil
}

// MarshalText formats the address.
func (a Address) MarshalText() ([]byte, error) {
	return a.AddrPort.MarshalText()
}

func (a Address) fault() (cause, valid string) {
	if a.invalidText == "" {
		return "", ""
	}
	return fmt.Sprintf("%q is not an IP address and port", a.invalidText), "a value such as \"127.0.0.1:8080\""
}

// invalidValue is a value that stores text that it could not parse.
type invalidValue interface {
	fault() (cause, valid string)
}

// checkValues reports the values whose text could not be parsed.
func (c *checker) checkValues(key string, value reflect.Value) {
	if textValue, ok := value.Interface().(invalidValue); ok {
		if cause, valid := textValue.fault(); cause != "" {
			c.add(key, KindValue, cause, valid)
		}
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			c.checkValues(joinKey(key, value.Type().Field(i).Tag.Get("toml")), value.Field(i))
		}
	case reflect.Slice:
		for i := range value.Len() {
			c.checkValues(fmt.Sprintf("%s[%d]", key, i), value.Index(i))
		}
	default:
	}
}
