package parser

import (
	"fmt"
	"net/netip"
	"reflect"
	"time"
)

// Duration is a time span written with a unit, such as "320ms".
type Duration struct {
	time.Duration
	wrong string
}

// UnmarshalText reads a duration; a wrong text is kept and reported with its line when the document is checked,
// because the decoder gives no position for errors of this method.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	d.Duration = value
	if err != nil {
		d.wrong = string(text)
	}
	return nil
}

// MarshalText writes a duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

func (d Duration) fault() (cause, valid string) {
	if d.wrong == "" {
		return "", ""
	}
	return fmt.Sprintf("%q is not a duration", d.wrong), "a number with a unit, such as \"320ms\" or \"2s\""
}

// Address is an IP address and port, such as "127.0.0.1:8080".
type Address struct {
	netip.AddrPort
	wrong string
}

// UnmarshalText reads an address; a wrong text is kept and reported with its line when the document is checked.
func (a *Address) UnmarshalText(text []byte) error {
	value, err := netip.ParseAddrPort(string(text))
	a.AddrPort = value
	if err != nil {
		a.wrong = string(text)
	}
	return nil
}

// MarshalText writes the address.
func (a Address) MarshalText() ([]byte, error) {
	return a.AddrPort.MarshalText()
}

func (a Address) fault() (cause, valid string) {
	if a.wrong == "" {
		return "", ""
	}
	return fmt.Sprintf("%q is not an IP address and port", a.wrong), "a value such as \"127.0.0.1:8080\""
}

// faulty is a value that remembers a text that it could not read.
type faulty interface {
	fault() (cause, valid string)
}

// checkValues reports the values whose text could not be read.
func (c *checker) checkValues(key string, value reflect.Value) {
	if each, ok := value.Interface().(faulty); ok {
		if cause, valid := each.fault(); cause != "" {
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
