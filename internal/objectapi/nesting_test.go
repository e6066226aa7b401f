package objectapi_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/objectapi"
)

// Guards against a list that can't be read because of one object in it, and against other objects that change by its repair.
func TestUnmarshalOfDeeplyNestedValues(t *testing.T) {
	type item struct {
		Name  string `json:"name"`
		Value any    `json:"value"`
	}
	const odd = `{"name":"a ] \" } \\","value":{"x":"[{\"","y":[1,{}]}}`
	array, object := strings.Repeat("[", 20_000)+"1"+strings.Repeat("]", 20_000), strings.Repeat(`{"a":`, 20_000)+"{}"+strings.Repeat("}", 20_000)
	for _, deep := range []string{array, object, `{"s":"]]}}\"[","deep":` + array + `}`} {
		var got, want []item
		qt.Assert(t, objectapi.Unmarshal([]byte(`[`+odd+`]`), &want), qt.IsNil)
		qt.Assert(t, objectapi.Unmarshal([]byte(`[`+odd+`,{"name":"b","value":`+deep+`},`+odd+`]`), &got), qt.IsNil)
		qt.Assert(t, got, qt.HasLen, 3)
		qt.Assert(t, got[0], qt.DeepEquals, want[0])
		qt.Assert(t, got[1].Name, qt.Equals, "b")
		qt.Assert(t, got[2], qt.DeepEquals, want[0])
	}
	for _, text := range []string{``, `[`, `[{"name":"a"}`, `]`, `[` + array, `{"a":` + array + `]`, `[{"name":1}]`, array + `x`, `}}}` + array, `"` + array} {
		var got []item
		qt.Check(t, objectapi.Unmarshal([]byte(text), &got), qt.IsNotNil, qt.Commentf("%.20s", text))
	}
}
