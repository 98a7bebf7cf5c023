package config

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// DecodeStrict decodes YAML and reports every unknown field.
func DecodeStrict(file string, b []byte, into any) Faults {
	faults, _ := decode(file, b, into)
	return faults
}

// decode also reports whether the values could be decoded, so that their
// checks can be made beside unknown fields.
func decode(file string, b []byte, into any) (faults Faults, decoded bool) {
	// The YAML library panics on some malformed documents, such as
	// a tag without a name before a number; for the user that is a fault of the file.
	defer func() {
		if r := recover(); r != nil {
			faults, decoded = Faults{{File: file, Message: fmt.Sprintf("not valid YAML: %v", r)}}, false
		}
	}()
	if err := yaml.Unmarshal(b, into); err != nil {
		return Faults{decodeFault(file, err)}, false
	}
	tree, err := parser.ParseBytes(b, 0)
	if err != nil {
		return Faults{decodeFault(file, err)}, false
	}
	for _, doc := range tree.Docs {
		faults = append(faults, unknownFields(file, doc.Body, reflect.TypeOf(into).Elem())...)
	}
	return faults, true
}

func decodeFault(file string, err error) Fault {
	var positioned yaml.Error
	if !errors.As(err, &positioned) {
		return Fault{File: file, Message: err.Error()}
	}
	line := 0
	if t := positioned.GetToken(); t != nil && t.Position != nil {
		line = t.Position.Line
	}
	return Fault{File: file, Line: line, Message: positioned.GetMessage()}
}

// unknownFields compares the keys of mappings with the fields of the type.
func unknownFields(file string, node ast.Node, t reflect.Type) Faults {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch n := node.(type) {
	case *ast.AnchorNode:
		return unknownFields(file, n.Value, t)
	case *ast.MappingValueNode:
		return unknownField(file, n, t)
	case *ast.MappingNode:
		var faults Faults
		for _, v := range n.Values {
			faults = append(faults, unknownField(file, v, t)...)
		}
		return faults
	case *ast.SequenceNode:
		if t.Kind() != reflect.Slice {
			return nil
		}
		var faults Faults
		for _, v := range n.Values {
			faults = append(faults, unknownFields(file, v, t.Elem())...)
		}
		return faults
	}
	return nil
}

func unknownField(file string, n *ast.MappingValueNode, t reflect.Type) Faults {
	if t.Kind() != reflect.Struct || t == reflect.TypeFor[time.Time]() {
		return nil
	}
	token := n.Key.GetToken()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name == token.Value {
			return unknownFields(file, n.Value, t.Field(i).Type)
		}
	}
	return Faults{{File: file, Line: token.Position.Line, Message: fmt.Sprintf("unknown field %q", token.Value)}}
}
