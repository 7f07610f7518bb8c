package peerrpc

import (
	"encoding/gob"
	"reflect"
	"sync"
)

// This file checks a message before it is decoded. A gob.Decoder makes room for a map or a list as soon as it reads how many items follow,
// whether they do or not: ten bytes would take gigabytes. To skip a message it walks through it item by item and makes room for nothing, so
// a message that can be skipped has all items that it announces.

// streamChecker skips messages of one connection.
type streamChecker struct {
	parts   byteParts
	decoder *gob.Decoder // nil until the first check
	seen    int          // bytes of the connection's definitions that the decoder has read
}

// check skips a message, given all definitions of types that the connection has brought.
func (c *streamChecker) check(definitions []byte, message [][]byte) error {
	if c.decoder == nil {
		c.decoder = gob.NewDecoder(&c.parts)
	}
	c.parts = append(byteParts{definitions[c.seen:]}, message...)
	c.seen = len(definitions)
	return decode(c.decoder, nil)
}

// needsCheck holds whether values of each reflect.Type are checked before they are decoded.
var needsCheck sync.Map

// mustCheck reports whether a value of the type that arguments point to may announce items: whether it holds a map, or a list of anything
// but bytes.
func mustCheck(arguments any) bool {
	t := reflect.TypeOf(arguments)
	if t == nil {
		return false // it is skipped
	}
	if known, ok := needsCheck.Load(t); ok {
		return known.(bool)
	}
	found := holdsItems(t, map[reflect.Type]bool{})
	needsCheck.Store(t, found)
	return found
}

// holdsItems reports whether a type holds maps, or lists of anything but bytes. Types in visited are being looked at.
func holdsItems(t reflect.Type, visited map[reflect.Type]bool) bool {
	if visited[t] {
		return false
	}
	visited[t] = true
	switch t.Kind() {
	case reflect.Map:
		return true
	case reflect.Slice:
		return t.Elem().Kind() != reflect.Uint8
	case reflect.Pointer, reflect.Array:
		return holdsItems(t.Elem(), visited)
	case reflect.Struct:
		for i := range t.NumField() {
			if field := t.Field(i); field.IsExported() && holdsItems(field.Type, visited) {
				return true
			}
		}
	}
	return false
}
