package entry

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists all defined models, including those that no engine serves at present.
func (e *Entry) serveModels(w http.ResponseWriter, _ *http.Request, info *requestInfo) *fighollow.Refusal {
	list := modelList{Object: "list", Data: []modelItem{}}
	for name := range info.view.models {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "fighollow"})
	}
	slices.SortFunc(list.Data, func(a, b modelItem) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // an error means that the caller has left
	return nil
}
