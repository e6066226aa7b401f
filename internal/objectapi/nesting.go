package objectapi

import (
	"encoding/json"
	"errors"
)

// maxNesting is the number of levels of arrays and objects of an answer that are read; the product's objects have fewer than ten.
// encoding/json refuses a whole answer that has more than 10,000, which another writer can bring about by one object.
const maxNesting = 64

// Unmarshal decodes an answer of an object store. Values below 64 levels of arrays and objects are read as null if the answer cannot be
// decoded with them.
func Unmarshal(body []byte, out any) error {
	err := json.Unmarshal(body, out)
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err
	}
	if json.Unmarshal(flatten(body), out) == nil {
		return nil
	}
	return err
}

// flatten returns JSON text with null in place of each array and object below maxNesting levels.
func flatten(text []byte) []byte {
	out := make([]byte, 0, len(text))
	depth, inString, escaped := 0, false, false
	for _, c := range text {
		skip := depth > maxNesting
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = c == '\\', c != '"'
		case c == '"':
			inString = true
		case c == '[' || c == '{':
			if depth++; depth == maxNesting+1 {
				out = append(out, "null"...)
				skip = true
			}
		case c == ']' || c == '}':
			depth--
		}
		if !skip {
			out = append(out, c)
		}
	}
	return out
}
